#include "protocol/platform_codec.hpp"
#include "transport/duty_thread.hpp"
#include "transport/http_client.hpp"
#include "transport/platform.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <utility>

namespace carawayturn
{

namespace asio = boost::asio;

namespace
{

constexpr unsigned ok_status = 200;

std::string print_registration(listed_instance const& self)
{
    boost::json::object fields;
    fields["id"] = self.id;
    fields["kind"] = self.kind;
    fields["service"] = self.service;
    fields["host"] = self.address.address;
    fields["port"] = self.address.port;
    fields["peer_port"] = self.peer_port;
    fields["failure_domain"] = self.failure_domain.str();
    fields["state"] = self.leaving ? "leaving" : "live";
    fields["incarnation"] = self.incarnation;
    return boost::json::serialize(fields);
}

class http_instance_list : public instance_list
{
public:
    http_instance_list(list_settings settings, platform_parts parts)
        : settings_(std::move(settings)), parts_(parts)
    {
    }

    void start() override
    {
        asio::co_spawn(parts_.thread.context(), run(), asio::detached);
    }

private:
    asio::awaitable<void> run()
    {
        asio::steady_timer pause(parts_.thread.context());
        while (true)
        {
            co_await poll();
            pause.expires_after(settings_.interval);
            co_await pause.async_wait(asio::as_tuple(asio::use_awaitable));
        }
    }

    asio::awaitable<exchange_result> call(client_request request)
    {
        exchange_limits limits;
        limits.connect_timeout = settings_.timeout;
        limits.timeout = settings_.timeout;
        auto answer = co_await exchange_whole(parts_.connections, settings_.address,
                                              std::move(request), limits);
        co_return answer;
    }

    asio::awaitable<void> poll()
    {
        client_request query{"GET", "/v1/instances", {}, {}};
        auto const answer = co_await call(std::move(query));
        if (answer.outcome != exchange_outcome::answered || answer.status != ok_status)
        {
            note_failure("no answer");
            co_return;
        }
        auto const parsed = parse_instance_list(answer.body);
        if (!succeeded(parsed))
        {
            note_failure(to_string(std::get<error>(parsed)));
            co_return;
        }
        failed_ = false;
        auto const& listed = std::get<std::vector<listed_instance>>(parsed);
        parts_.addresses.replace(listed);
        parts_.events.deliver(instances_listed{listed});
        if (!settings_.self.id.empty() && !shows_self(listed))
            co_await register_self();
    }

    [[nodiscard]] bool shows_self(std::vector<listed_instance> const& listed) const
    {
        return std::any_of(listed.begin(), listed.end(),
                           [this](listed_instance const& each)
                           {
                               return each.id == settings_.self.id &&
                                      each.incarnation == settings_.self.incarnation;
                           });
    }

    asio::awaitable<void> register_self()
    {
        client_request message{"POST",
                               "/v1/register",
                               {{"Content-Type", "application/json"}},
                               print_registration(settings_.self)};
        co_await call(std::move(message));
    }

    void note_failure(std::string_view reason)
    {
        if (!std::exchange(failed_, true))
            parts_.log.write(log_number::instance_list_unavailable,
                             settings_.address.address, reason);
    }

    list_settings settings_;
    platform_parts parts_;
    bool failed_ = false;
};

} // namespace

std::unique_ptr<instance_list> make_http_instance_list(list_settings settings,
                                                       platform_parts parts)
{
    return std::make_unique<http_instance_list>(std::move(settings), parts);
}

} // namespace carawayturn
