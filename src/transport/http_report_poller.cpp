#include "protocol/platform_codec.hpp"
#include "transport/duty_thread.hpp"
#include "transport/http_client.hpp"
#include "transport/platform.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <map>
#include <utility>

namespace carawayturn
{

namespace asio = boost::asio;

namespace
{

/// Failed polls in a row after which a backend server counts as unreachable. One or two
/// are usual when a connection is lost.
constexpr std::uint32_t failures_until_unreachable = 3;

constexpr unsigned ok_status = 200;

class http_report_poller : public report_poller
{
public:
    http_report_poller(report_settings settings, platform_parts parts)
        : settings_(settings), parts_(parts)
    {
    }

    void start() override
    {
        asio::co_spawn(parts_.thread.context(), run(), asio::detached);
    }

private:
    struct backend_state
    {
        bool polling = false;
        std::uint32_t failures = 0;
    };

    asio::awaitable<void> run()
    {
        asio::steady_timer pause(parts_.thread.context());
        while (true)
        {
            begin_polls();
            pause.expires_after(settings_.interval);
            co_await pause.async_wait(asio::as_tuple(asio::use_awaitable));
        }
    }

    /// A backend server that has not answered the last poll is not polled again yet.
    void begin_polls()
    {
        auto const listed = parts_.addresses.all();
        std::map<backend_id, backend_state> kept;
        for (auto const& [id, address] : listed)
        {
            auto& entry = kept[id] = backends_[id];
            if (std::exchange(entry.polling, true))
                continue;
            asio::co_spawn(parts_.thread.context(), poll(id, address), asio::detached);
        }
        backends_ = std::move(kept);
    }

    asio::awaitable<void> poll(backend_id backend, endpoint address)
    {
        exchange_limits limits;
        limits.connect_timeout = settings_.timeout;
        limits.timeout = settings_.timeout;
        client_request query{"GET", "/v1/report", {}, {}};
        auto const answer = co_await exchange_whole(parts_.connections, address,
                                                    std::move(query), limits);
        auto const found = backends_.find(backend);
        if (found == backends_.end())
            co_return;
        found->second.polling = false;
        if (answer.outcome == exchange_outcome::answered)
        {
            found->second.failures = 0;
            take_report(backend, answer);
        }
        else if (++found->second.failures % failures_until_unreachable == 0)
            parts_.events.deliver(backend_unreachable{backend});
    }

    /// A backend server that answers without a report is reachable all the same.
    void take_report(backend_id const& backend, exchange_result const& answer)
    {
        if (answer.status != ok_status)
            return;
        auto parsed = parse_backend_report(backend, answer.body);
        if (succeeded(parsed))
            parts_.events.deliver(
                report_received{std::get<backend_report>(std::move(parsed))});
        else
            parts_.log.write(log_number::backend_poll_failed, backend.str(),
                             to_string(std::get<error>(parsed)));
    }

    report_settings settings_;
    platform_parts parts_;
    std::map<backend_id, backend_state> backends_;
};

} // namespace

std::unique_ptr<report_poller> make_http_report_poller(report_settings settings,
                                                       platform_parts parts)
{
    return std::make_unique<http_report_poller>(settings, parts);
}

} // namespace carawayturn
