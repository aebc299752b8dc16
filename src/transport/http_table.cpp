#include "protocol/platform_codec.hpp"
#include "transport/duty_thread.hpp"
#include "transport/http_client.hpp"
#include "transport/platform.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <utility>

namespace carawayturn
{

namespace asio = boost::asio;

namespace
{

using answer_parser = table_outcome (*)(unsigned, std::string_view);

class http_table : public table_service
{
public:
    http_table(table_settings settings, platform_parts parts)
        : settings_(std::move(settings)), parts_(parts)
    {
    }

    void commit(table_commit commit) override
    {
        begin(commit.operation, {"POST", "/v1/commit", {}, print_table_commit(commit)},
              &parse_commit_answer);
    }

    void read(table_read read) override
    {
        begin(read.operation, {"POST", "/v1/read", {}, print_table_read(read)},
              &parse_read_answer);
    }

private:
    void begin(operation_id operation, client_request request, answer_parser parse)
    {
        request.headers.push_back({"Content-Type", "application/json"});
        parts_.thread.post(
            [this, operation = std::move(operation), request = std::move(request), parse]
            {
                asio::co_spawn(parts_.thread.context(), run(operation, request, parse),
                               asio::detached);
            });
    }

    asio::awaitable<void> run(operation_id operation, client_request request,
                              answer_parser parse)
    {
        exchange_limits limits;
        limits.connect_timeout = settings_.timeout;
        limits.timeout = settings_.timeout;
        auto const answer = co_await exchange_whole(parts_.connections, settings_.address,
                                                    std::move(request), limits);
        parts_.events.deliver(table_answered{operation, read_outcome(answer, parse)});
    }

    static table_outcome read_outcome(exchange_result const& answer, answer_parser parse)
    {
        if (answer.outcome == exchange_outcome::not_sent)
            return table_unavailable{"the table service refused the connection"};
        if (answer.outcome == exchange_outcome::lost)
            return outcome_unknown{"the answer was lost or late"};
        return parse(answer.status, answer.body);
    }

    table_settings settings_;
    platform_parts parts_;
};

} // namespace

std::unique_ptr<table_service> make_http_table(table_settings settings,
                                               platform_parts parts)
{
    return std::make_unique<http_table>(std::move(settings), parts);
}

} // namespace carawayturn
