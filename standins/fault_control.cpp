#include "fault_control.hpp"

#include "json_fields.hpp"

#include <thread>

namespace carawayturn::standins
{

bool fault_control::admit(exchange& current)
{
    auto const& request = current.request();
    if (request.path == "/faults")
    {
        set(current);
        return false;
    }
    if (request.path == "/v1/log" || request.path == "/v1/executions")
        return true;
    std::unique_lock lock(mutex_);
    auto const delay = delay_;
    lock.unlock();
    std::this_thread::sleep_for(delay);
    lock.lock();
    if (drop_)
    {
        current.abort();
        return false;
    }
    if (down_)
    {
        lock.unlock();
        answer_json(current, 503, {{"error", "down"}, {"ran", "not-run"}});
        return false;
    }
    if (take_lost_answer(request))
        current.lose_answer();
    return true;
}

bool fault_control::crashes(std::string const& body) const
{
    std::lock_guard const lock(mutex_);
    return !crash_on_.empty() && body.find(crash_on_) != std::string::npos;
}

void fault_control::set(exchange& current)
{
    auto const fields = parse_object(current.request().body);
    if (!fields)
    {
        answer_bad_request(current, "faults must be a JSON object");
        return;
    }
    {
        std::lock_guard const lock(mutex_);
        down_ = bool_field(*fields, "down", down_);
        drop_ = bool_field(*fields, "drop", drop_);
        delay_ =
            std::chrono::milliseconds(number_field(*fields, "delay_ms", delay_.count()));
        lose_answers_ = number_field(*fields, "lose_answers", lose_answers_);
        lose_path_ = text_field(*fields, "lose_path", lose_path_);
        crash_on_ = text_field(*fields, "crash_on", crash_on_);
    }
    answer_json(current, 200, {{"set", true}});
}

bool fault_control::take_lost_answer(http_request const& request)
{
    if (lose_answers_ <= 0 || request.method == "GET" ||
        !request.path.starts_with(lose_path_))
        return false;
    --lose_answers_;
    return true;
}

} // namespace carawayturn::standins
