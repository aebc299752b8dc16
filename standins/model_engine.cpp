// Stand-in for a model engine on a runner; see docs/design.md, section 7.

#include "chat_body.hpp"
#include "engine_batch.hpp"
#include "engine_memory.hpp"
#include "fault_control.hpp"
#include "http_service.hpp"
#include "json_fields.hpp"
#include "lagged.hpp"
#include "prefix_cache.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <charconv>
#include <chrono>
#include <deque>
#include <map>
#include <mutex>
#include <thread>

ABSL_FLAG(std::uint16_t, port, 0, "port on 127.0.0.1; 0 takes a free one");
ABSL_FLAG(std::uint16_t, weight_store_port, 0, "0 loads in load_ms without a store");
ABSL_FLAG(std::int64_t, capacity_bytes, std::int64_t{80} << 30U, "accelerator memory");
ABSL_FLAG(bool, check_fence, true, "refuse orders with an old fencing number");
ABSL_FLAG(bool, forget_fence, false, "forget the highest fencing number at a crash");
ABSL_FLAG(bool, accept_overcommit, false, "carry out loads beyond the capacity");
ABSL_FLAG(std::int64_t, load_ms, 100, "load time without a weight store");
ABSL_FLAG(std::int64_t, memory_load_ms, 50, "load time of a checkpoint in main memory");
ABSL_FLAG(std::int64_t, disk_load_ms, 300, "load time of a checkpoint on disk");
ABSL_FLAG(std::size_t, memory_cache, 4, "checkpoints cached in main memory");
ABSL_FLAG(std::size_t, disk_cache, 16, "checkpoints cached on disk");
ABSL_FLAG(std::size_t, batch, 8, "requests that run at once");
ABSL_FLAG(std::int64_t, token_us, 5000, "time between tokens, microseconds");
ABSL_FLAG(std::int64_t, prefill_us, 50, "time for each uncached prompt token");
ABSL_FLAG(std::int64_t, answer_percent, 100,
          "length of answers in percent of max_tokens");
ABSL_FLAG(std::int64_t, report_lag_ms, 200, "age of the report, milliseconds");
ABSL_FLAG(std::int64_t, cache_event_lag_ms, 500, "age of prefix cache events");
ABSL_FLAG(std::uint64_t, cache_event_gap, 10, "every such event is left out; 0 for none");
ABSL_FLAG(std::int64_t, restart_ms, 200, "time after a crash without any answer");

namespace carawayturn::standins
{

namespace json = boost::json;

namespace
{

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr milliseconds report_interval{20};
constexpr std::size_t max_kept_kv = 256;
constexpr std::string_view request_path = "/v1/requests/";
constexpr std::string_view kv_path = "/v1/kv/";

memory_settings settings_from_flags()
{
    memory_settings settings;
    settings.capacity_bytes = absl::GetFlag(FLAGS_capacity_bytes);
    settings.checks_fence = absl::GetFlag(FLAGS_check_fence);
    settings.forgets_fence = absl::GetFlag(FLAGS_forget_fence);
    settings.accepts_overcommit = absl::GetFlag(FLAGS_accept_overcommit);
    settings.weight_store_port = absl::GetFlag(FLAGS_weight_store_port);
    settings.load_time = milliseconds(absl::GetFlag(FLAGS_load_ms));
    settings.memory_load_time = milliseconds(absl::GetFlag(FLAGS_memory_load_ms));
    settings.disk_load_time = milliseconds(absl::GetFlag(FLAGS_disk_load_ms));
    settings.memory_cache = absl::GetFlag(FLAGS_memory_cache);
    settings.disk_cache = absl::GetFlag(FLAGS_disk_cache);
    return settings;
}

std::uint64_t first_incarnation()
{
    auto const since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<milliseconds>(since_epoch).count());
}

std::uint64_t query_number(std::string const& query, std::string_view name)
{
    std::uint64_t value = 0;
    std::string const wanted = std::string(name) + "=";
    auto const found = query.find(wanted);
    if (found != std::string::npos)
        std::from_chars(query.data() + found + wanted.size(), query.data() + query.size(),
                        value);
    return value;
}

/// One chat request while it is in the engine.
struct chat_run
{
    chat_body body;
    batch_place place;
    std::int64_t offset = 0;
    std::int64_t length = 0;
    std::string text;
};

class model_engine
{
public:
    model_engine(fault_control const& faults, http_service& service)
        : faults_(faults), service_(service),
          memory_(settings_from_flags(), first_incarnation()),
          batch_(absl::GetFlag(FLAGS_batch)),
          prefixes_({64, milliseconds(absl::GetFlag(FLAGS_cache_event_lag_ms)),
                     absl::GetFlag(FLAGS_cache_event_gap)}),
          reports_(take_report(), milliseconds(absl::GetFlag(FLAGS_report_lag_ms)))
    {
    }

    void handle(exchange& current)
    {
        auto const& request = current.request();
        if (request.path == "/v1/log")
            return answer_log(current);
        // A request that a crash overtook, for example in a delay, died with the process.
        if (restarting() || current.aborted())
            return current.abort();
        if (request.headers.contains("authorization"))
            ++authorization_headers_;
        if (request.path == "/v1/chat/completions")
            return chat(current);
        if (request.path == "/v1/orders")
            return carry_out(current);
        if (request.path == "/v1/report")
            return answer_report(current);
        if (request.path == "/v1/crash")
        {
            answer_json(current, 200, {{"crashed", true}});
            return crash();
        }
        handle_rest(current);
    }

    /// Takes a report at every interval; does not return.
    [[noreturn]] void keep_reporting()
    {
        for (;;)
        {
            std::this_thread::sleep_for(report_interval);
            json::object report = take_report();
            std::lock_guard const lock(mutex_);
            reports_.record(std::move(report));
        }
    }

private:
    void handle_rest(exchange& current)
    {
        auto const& request = current.request();
        if (request.path == "/v1/cache-events")
            return answer_json(current, 200,
                               {{"events", prefixes_.events_after(
                                               query_number(request.query, "after"))}});
        if (request.path.starts_with(request_path) && request.method == "DELETE")
            return cancel(current, request.path.substr(request_path.size()));
        if (request.path.starts_with(kv_path))
            return exchange_kv(current, request.path.substr(kv_path.size()));
        answer_json(current, 404, {{"error", "no such path"}, {"ran", "not-run"}});
    }

    void carry_out(exchange& current)
    {
        auto const fields = parse_object(current.request().body);
        static constexpr std::array<std::string_view, 5> actions{
            "load", "unload", "load_adapter", "unload_adapter", "set_role"};
        auto const action = fields ? text_field(*fields, "action") : std::string();
        if (std::ranges::find(actions, action) == actions.end())
            return answer_bad_request(current, "the body must be an order");
        memory_order order;
        order.id = text_field(*fields, "order_id");
        order.fence = static_cast<std::uint64_t>(number_field(*fields, "fence"));
        order.action = action;
        order.item = {text_field(*fields, "model"), text_field(*fields, "version"),
                      action.ends_with("_adapter") ? text_field(*fields, "adapter")
                                                   : std::string()};
        order.bytes = number_field(*fields, "bytes");
        order.role = text_field(*fields, "role");
        answer_order(current, memory_.run(order));
    }

    static void answer_order(exchange& current, engine_memory::outcome const& outcome)
    {
        switch (outcome.end)
        {
        case engine_memory::ending::answered:
            return answer_json(
                current, 200,
                {{"result", outcome.result}, {"incarnation", outcome.incarnation}});
        case engine_memory::ending::fetch_failed:
            return answer_json(current, 503, {{"error", "weight store failed"}});
        case engine_memory::ending::crashed:
            return current.abort();
        }
    }

    void chat(exchange& current)
    {
        auto const& request = current.request();
        auto const body = read_chat_body(request.body);
        if (!body)
            return answer_bad_request(current, "the body must name a model");
        auto const held = memory_.use(body->model);
        if (!held)
            return answer_json(current, 409,
                               {{"error", "not_loaded"}, {"ran", "not-run"}});
        chat_run run;
        run.body = *body;
        run.place.request_id = request.header("x-request-id");
        run.place.priority = request.number("x-priority", 10);
        run.offset = std::max<std::int64_t>(0, request.number("x-resume-offset", 0));
        run.length = std::max<std::int64_t>(
            1, body->max_tokens * absl::GetFlag(FLAGS_answer_percent) / 100);
        wait_and_run(current, run);
        memory_.release(*held);
    }

    void wait_and_run(exchange& current, chat_run& run)
    {
        auto const state = batch_.enter(run.place, [&] { return current.peer_closed(); });
        if (state == engine_batch::ending::cancelled)
            return answer_json(current, 409,
                               {{"error", "cancelled"}, {"ran", "not-run"}});
        if (state != engine_batch::ending::running)
            return current.abort();
        count_execution(run);
        if (faults_.crashes(current.request().body))
            crash();
        if (run.body.stream)
            current.begin_events();
        bool const whole = generate(current, run);
        batch_.leave(run.place);
        finish(current, run, whole);
    }

    void count_execution(chat_run const& run)
    {
        std::lock_guard const lock(mutex_);
        ++executions_[run.place.request_id];
        if (!run.body.reference.empty())
            ++by_reference_[run.body.reference];
        if (run.offset > 0)
            ++resumes_[run.place.request_id];
    }

    /// Produces the tokens; returns false if the request ended early.
    bool generate(exchange& current, chat_run& run)
    {
        auto const prefill = microseconds(absl::GetFlag(FLAGS_prefill_us));
        bool const cached = take_kv(run.place.request_id) ||
                            prefixes_.touch(run.body.model, run.body.prefix);
        auto const wait = cached ? microseconds(0) : prefill * run.body.prompt_tokens;
        if (batch_.pause(run.place, wait) != engine_batch::ending::running)
            return false;
        microseconds const token_time(absl::GetFlag(FLAGS_token_us));
        for (std::int64_t number = run.offset; number < run.length; ++number)
        {
            if (batch_.pause(run.place, token_time) != engine_batch::ending::running ||
                current.peer_closed())
                return false;
            ++tokens_;
            std::string const token = "t" + std::to_string(number) + " ";
            run.text += token;
            if (run.body.stream && !current.send_event(print_token_event(
                                       run.place.request_id, run.body.model, token)))
                return false;
        }
        return true;
    }

    // A request that was cancelled or lost while it ran gets no answer.
    void finish(exchange& current, chat_run const& run, bool whole)
    {
        if (!whole)
        {
            if (current.peer_closed())
                ++abandoned_;
            return current.abort();
        }
        keep_kv(run.place.request_id, run.body.model, run.length);
        chat_usage const usage{run.body.prompt_tokens, run.length};
        auto const& id = run.place.request_id;
        if (!run.body.stream)
            return current.answer(
                200, print_whole_answer(id, run.body.model, run.text, usage));
        current.send_event(print_last_event(id, run.body.model, usage));
        current.send_event("[DONE]");
        current.end_events();
    }

    void cancel(exchange& current, std::string const& request_id)
    {
        bool const found = batch_.cancel(request_id);
        answer_json(current, found ? 200 : 404, {{"cancelled", found}});
    }

    void exchange_kv(exchange& current, std::string const& request_id)
    {
        auto const& request = current.request();
        if (request.method == "POST")
        {
            auto const kv = parse_object(request.body);
            if (!kv)
                return answer_bad_request(current, "the body must be a JSON object");
            std::lock_guard const lock(mutex_);
            imported_kv_[request_id] = *kv;
            return answer_json(current, 200, {{"imported", true}});
        }
        std::unique_lock lock(mutex_);
        auto const found = std::ranges::find(kept_kv_, request_id,
                                             [](auto const& kept)
                                             { return text_field(kept, "request"); });
        bool const known = found != kept_kv_.end();
        json::object const kv =
            known ? *found : json::object{{"error", "no such request"}};
        lock.unlock();
        answer_json(current, known ? 200 : 404, kv);
    }

    void keep_kv(std::string const& request_id, std::string const& model,
                 std::int64_t tokens)
    {
        std::lock_guard const lock(mutex_);
        kept_kv_.push_front(
            {{"request", request_id}, {"model", model}, {"tokens", tokens}});
        if (kept_kv_.size() > max_kept_kv)
            kept_kv_.pop_back();
    }

    /// Uses up an imported KV cache for this request, if there is one.
    bool take_kv(std::string const& request_id)
    {
        std::lock_guard const lock(mutex_);
        return imported_kv_.erase(request_id) != 0;
    }

    // The new incarnation comes first: an order or request that ends from here on finds
    // that it may not claim success.
    void crash()
    {
        memory_.crash();
        {
            std::lock_guard const lock(mutex_);
            restarted_at_ = std::chrono::steady_clock::now() +
                            milliseconds(absl::GetFlag(FLAGS_restart_ms));
            kept_kv_.clear();
            imported_kv_.clear();
            ++crashes_;
        }
        batch_.crash();
        prefixes_.clear();
        service_.abort_connections();
    }

    [[nodiscard]] bool restarting() const
    {
        std::lock_guard const lock(mutex_);
        return std::chrono::steady_clock::now() < restarted_at_;
    }

    json::object take_report()
    {
        json::object report;
        memory_.add_report(report);
        auto const load = batch_.current_load();
        report["sequence"] = ++report_sequence_;
        report["running"] = load.running;
        report["waiting"] = load.waiting;
        return report;
    }

    void answer_report(exchange& current)
    {
        std::unique_lock lock(mutex_);
        json::object const shown = reports_.shown();
        lock.unlock();
        answer_json(current, 200, shown);
    }

    void answer_log(exchange& current)
    {
        json::object log;
        memory_.add_log(log);
        log["cancels"] = batch_.cancels();
        log["abandoned"] = abandoned_.load();
        log["tokens"] = tokens_.load();
        log["authorization_headers"] = authorization_headers_.load();
        {
            std::lock_guard const lock(mutex_);
            log["crashes"] = crashes_;
            log["executions"] = print_counts(executions_);
            log["by_reference"] = print_counts(by_reference_);
            log["resumes"] = print_counts(resumes_);
        }
        answer_json(current, 200, log);
    }

    fault_control const& faults_;
    http_service& service_;
    engine_memory memory_;
    engine_batch batch_;
    prefix_cache prefixes_;
    std::atomic<std::uint64_t> report_sequence_ = 0;
    std::atomic<std::uint64_t> authorization_headers_ = 0;
    std::atomic<std::uint64_t> tokens_ = 0;
    std::atomic<std::uint64_t> abandoned_ = 0;

    mutable std::mutex mutex_;
    lagged<json::object> reports_;
    std::chrono::steady_clock::time_point restarted_at_;
    std::uint64_t crashes_ = 0;
    std::map<std::string, std::uint64_t> executions_;
    std::map<std::string, std::uint64_t> by_reference_;
    std::map<std::string, std::uint64_t> resumes_;
    std::deque<json::object> kept_kv_;
    std::map<std::string, json::object> imported_kv_;
};

} // namespace

} // namespace carawayturn::standins

int main(int argc, char** argv)
{
    using namespace carawayturn::standins;
    absl::ParseCommandLine(argc, argv);
    fault_control faults;
    http_service service;
    model_engine engine(faults, service);
    service.listen(absl::GetFlag(FLAGS_port));
    std::thread([&engine] { engine.keep_reporting(); }).detach();
    service.run(
        [&](exchange& current)
        {
            if (faults.admit(current))
                engine.handle(current);
        });
}
