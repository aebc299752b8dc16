#include "transport/admin_server.hpp"

#include "protocol/admin_codec.hpp"
#include "state/config_text.hpp"
#include "state/hash.hpp"
#include "transport/submission_reader.hpp"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <map>
#include <thread>
#include <utility>

namespace carawayturn
{

namespace
{

enum admin_status : unsigned
{
    ok = 200,
    accepted = 202,
    bad_request = 400,
    unauthorized = 401,
    not_found = 404,
    method_not_allowed = 405,
    conflict = 409,
    internal_error = 500,
    unavailable = 503,
    outcome_unknown_status = 504
};

constexpr std::string_view explain_prefix = "/admin/explain/";

using exchange_pointer = std::shared_ptr<http_exchange>;

unsigned status_of(answer_submission const& answer)
{
    if (!answer.failure)
        return answer.accepted ? admin_status::ok : admin_status::accepted;
    switch (answer.failure->code)
    {
    case error_code::invalid_input:
        return bad_request;
    case error_code::conflict:
        return conflict;
    case error_code::not_found:
        return not_found;
    case error_code::unknown_outcome:
    case error_code::timeout:
        return outcome_unknown_status;
    case error_code::internal:
        return internal_error;
    default:
        return unavailable;
    }
}

std::string print_error(error const& failure)
{
    boost::json::object fields;
    fields["code"] = name_of(failure.code);
    fields["step"] = failure.step;
    fields["detail"] = failure.detail;
    boost::json::object body;
    body["error"] = std::move(fields);
    return boost::json::serialize(body);
}

void send_json(http_exchange& exchange, unsigned status, std::string body)
{
    exchange.send({status, {{"Content-Type", "application/json"}}}, std::move(body));
}

void send_error(http_exchange& exchange, unsigned status, error const& failure)
{
    send_json(exchange, status, print_error(failure));
}

} // namespace

struct admin_server::state : http_handler
{
    state(admin_settings set, event_sink& raised, event_log& events_log,
          std::function<void()> drain_call)
        : settings(std::move(set)), token(sha256(settings.operator_token)),
          events(raised), log(events_log), drain(std::move(drain_call)),
          server(settings.limits, *this)
    {
    }

    void on_request(exchange_pointer const& exchange) override;
    void on_hangup(http_exchange const& exchange) override;
    std::string error_body(unsigned status, std::string_view reason) override;

    [[nodiscard]] bool authorised(http_request const& request) const;
    void route(exchange_pointer const& exchange, std::string const& path);
    void submit(exchange_pointer const& exchange);
    void explain(exchange_pointer const& exchange, request_id request);
    void begin_drain(http_exchange& exchange);
    void reply(answer_submission const& answer);
    /// Has text made on the core thread and sends it; empty text is answered with 404.
    void send_from_core(exchange_pointer const& exchange,
                        std::function<std::string(core_driver const&, time_point)> make);

    admin_settings settings;
    digest token;
    event_sink& events;
    event_log& log;
    std::function<void()> drain;
    std::uint64_t made_operations = 0;
    http_server server;
    /// Exchanges end before the server whose event loop they use.
    std::multimap<operation_id, exchange_pointer> submissions;
    std::thread thread;
};

bool admin_server::state::authorised(http_request const& request) const
{
    return request.key && equal_in_constant_time(request.key->str(), token.str());
}

void admin_server::state::on_request(exchange_pointer const& exchange)
{
    auto const& request = exchange->request();
    std::string const path(path_of(request.target));
    if (!authorised(request))
        return send_error(*exchange, unauthorized,
                          {error_code::permission_denied,
                           "admin",
                           {},
                           "the operator token is missing or wrong"});
    log.write(log_number::admin_request, request.method, path);
    route(exchange, path);
}

void admin_server::state::route(exchange_pointer const& exchange, std::string const& path)
{
    auto const& method = exchange->request().method;
    bool const get = method == "GET";
    bool const post = method == "POST";
    bool const known_get = path == "/admin/config" || path == "/admin/state" ||
                           path.starts_with(explain_prefix);
    bool const known_post = path == "/admin/changes" || path == "/admin/drain";
    if (!known_get && !known_post)
        return send_error(*exchange, not_found,
                          {error_code::not_found, "admin", {}, "no such path: " + path});
    if ((known_get && !get) || (known_post && !post))
        return send_error(*exchange, method_not_allowed,
                          {error_code::invalid_input,
                           "admin",
                           {},
                           known_get ? "this path takes GET" : "this path takes POST"});
    if (path == "/admin/changes")
        return submit(exchange);
    if (path == "/admin/drain")
        return begin_drain(*exchange);
    if (path == "/admin/config")
        return send_from_core(exchange, [](core_driver const& core, time_point)
                              { return print_config(core.config()); });
    if (path == "/admin/state")
        return send_from_core(exchange, [](core_driver const& core, time_point now)
                              { return core.dump(now); });
    explain(exchange, request_id(path.substr(explain_prefix.size())));
}

void admin_server::state::explain(exchange_pointer const& exchange, request_id request)
{
    send_from_core(exchange,
                   [request = std::move(request)](core_driver const& core, time_point)
                   { return core.explain(request); });
}

void admin_server::state::begin_drain(http_exchange& exchange)
{
    drain();
    send_json(exchange, admin_status::accepted, R"({"draining":true})");
}

void admin_server::state::send_from_core(
    exchange_pointer const& exchange,
    std::function<std::string(core_driver const&, time_point)> make)
{
    bool const asked = events.ask(
        [this, exchange, make = std::move(make)](core_driver const& core, time_point now)
        {
            server.post(
                [exchange, text = make(core, now)]
                {
                    if (text.empty())
                        send_error(*exchange, not_found,
                                   {error_code::not_found, "admin", {}, "not known"});
                    else
                        send_json(*exchange, ok, text);
                });
        });
    if (!asked)
        send_error(*exchange, unavailable,
                   {error_code::unavailable, "admin", {}, "the instance is stopping"});
}

void admin_server::state::submit(exchange_pointer const& exchange)
{
    auto parsed = read_submission(exchange->request().body);
    if (!succeeded(parsed))
        return send_error(*exchange, bad_request, std::get<error>(parsed));
    auto& submission = std::get<change_submitted>(parsed);
    if (submission.operation.empty())
        submission.operation = operation_id(settings.id_prefix + "-submission-" +
                                            std::to_string(++made_operations));
    submissions.emplace(submission.operation, exchange);
    events.deliver(std::move(submission));
}

void admin_server::state::reply(answer_submission const& answer)
{
    auto const [first, last] = submissions.equal_range(answer.operation);
    for (auto each = first; each != last; ++each)
        send_json(*each->second, status_of(answer), print_submission_answer(answer));
    submissions.erase(first, last);
}

void admin_server::state::on_hangup(http_exchange const& exchange)
{
    std::erase_if(submissions, [&exchange](auto const& entry)
                  { return entry.second.get() == &exchange; });
}

std::string admin_server::state::error_body(unsigned, std::string_view reason)
{
    return print_error({error_code::invalid_input, "admin", {}, std::string(reason)});
}

admin_server::admin_server(admin_settings settings, event_sink& events, event_log& log,
                           std::function<void()> drain)
    : state_(std::make_unique<state>(std::move(settings), events, log, std::move(drain)))
{
}

admin_server::~admin_server()
{
    stop();
}

result<std::uint16_t> admin_server::listen()
{
    return state_->server.listen(state_->settings.listen);
}

void admin_server::start()
{
    state_->thread = std::thread([this] { state_->server.run(); });
}

void admin_server::stop()
{
    state_->server.stop();
    if (state_->thread.joinable())
        state_->thread.join();
}

void admin_server::answer(answer_submission answer)
{
    state_->server.post([this, answer = std::move(answer)] { state_->reply(answer); });
}

} // namespace carawayturn
