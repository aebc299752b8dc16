#include "protocol/platform_codec.hpp"
#include "transport/duty_thread.hpp"
#include "transport/http_client.hpp"
#include "transport/platform.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <utility>

namespace carawayturn
{

namespace asio = boost::asio;

namespace
{

/// An answer of the core that is waited for on the platform thread.
struct core_answer
{
    explicit core_answer(asio::io_context& context) : arrived(context)
    {
        arrived.expires_at(asio::steady_timer::time_point::max());
    }
    asio::steady_timer arrived;
    bool allowed = false;
};

class http_engine_orders : public engine_orders
{
public:
    http_engine_orders(order_settings settings, platform_parts parts)
        : settings_(settings), parts_(parts)
    {
    }

    void send(engine_order order) override
    {
        parts_.thread.post(
            [this, order = std::move(order)]
            { asio::co_spawn(parts_.thread.context(), run(order), asio::detached); });
    }

private:
    asio::awaitable<void> run(engine_order order)
    {
        order_answered answered{order, order_result::not_delivered, 0};
        auto const address = parts_.addresses.find(order.backend);
        if (address)
        {
            auto const answer = co_await exchange(*address, order);
            read_answer(answer, answered);
        }
        parts_.events.deliver(std::move(answered));
    }

    asio::awaitable<exchange_result> exchange(endpoint address, engine_order const& order)
    {
        exchange_limits limits;
        limits.connect_timeout = settings_.connect_timeout;
        limits.timeout = settings_.timeout;
        client_request request{"POST",
                               "/v1/orders",
                               {{"Content-Type", "application/json"}},
                               print_engine_order(order)};
        permission const may_send = [this, &order] { return ask_core(order); };
        auto answer = co_await exchange_whole(parts_.connections, std::move(address),
                                              std::move(request), limits, may_send);
        co_return answer;
    }

    static void read_answer(exchange_result const& answer, order_answered& out)
    {
        if (answer.outcome == exchange_outcome::lost)
            out.outcome = order_result::unknown;
        if (answer.outcome != exchange_outcome::answered)
            return;
        auto const parsed = parse_order_answer(answer.status, answer.body);
        out.outcome = parsed.outcome;
        out.incarnation = parsed.incarnation;
    }

    asio::awaitable<bool> ask_core(engine_order const& order)
    {
        auto const answer = std::make_shared<core_answer>(parts_.thread.context());
        bool const asked = parts_.events.ask(
            [&thread = parts_.thread, answer, order](core_driver const& core,
                                                     time_point now)
            {
                bool const allowed = core.may_send_order(now, order);
                thread.post(
                    [answer, allowed]
                    {
                        answer->allowed = allowed;
                        answer->arrived.cancel();
                    });
            });
        if (!asked)
            co_return false;
        co_await answer->arrived.async_wait(asio::as_tuple(asio::use_awaitable));
        co_return answer->allowed;
    }

    order_settings settings_;
    platform_parts parts_;
};

} // namespace

std::unique_ptr<engine_orders> make_http_engine_orders(order_settings settings,
                                                       platform_parts parts)
{
    return std::make_unique<http_engine_orders>(settings, parts);
}

} // namespace carawayturn
