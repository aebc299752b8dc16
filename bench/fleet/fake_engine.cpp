#include "fleet/fake_engine.hpp"

#include <algorithm>

namespace carawayturn::bench
{

namespace
{

/// Checkpoints that fit into a machine's main memory beside its accelerators.
constexpr std::size_t memory_cache_models = 2;

} // namespace

fake_engine::fake_engine(event_queue& queue, fake_weight_store& weights, settings chosen)
    : queue_(queue), weights_(weights), settings_(std::move(chosen)),
      accounted_(queue.now())
{
}

byte_count fake_engine::used() const
{
    byte_count total = 0;
    for (auto const& item : loaded_)
        total += item.bytes;
    return total;
}

void fake_engine::account()
{
    auto const elapsed = queue_.now() - accounted_;
    accounted_ = queue_.now();
    std::set<model_id> busy;
    for (auto const& [number, entry] : running_)
        busy.insert(entry.work.model);
    for (auto const& item : loaded_)
    {
        if (!item.adapter.empty())
            continue;
        record_.loaded_time += elapsed;
        if (busy.contains(item.model))
            record_.busy_time += elapsed;
    }
}

void fake_engine::order(engine_order const& wanted, bool decided,
                        std::function<void(order_result, incarnation_number)> answer)
{
    if (settings_.checks_fence && wanted.fence < highest_fence_)
    {
        answer(order_result::stale_fence, incarnation_);
        return;
    }
    highest_fence_ = std::max(highest_fence_, wanted.fence);
    bool const loads = wanted.action == order_action::load ||
                       wanted.action == order_action::load_adapter;
    if (loads && !decided)
        ++record_.undecided_loads;
    if (loads)
        load(wanted, std::move(answer));
    else
        answer(unload(wanted.item), incarnation_);
}

void fake_engine::load(engine_order const& wanted,
                       std::function<void(order_result, incarnation_number)> answer)
{
    auto const& item = wanted.item;
    if (!item.adapter.empty() && !holds(item.model, {}))
    {
        answer(order_result::not_loaded, incarnation_);
        return;
    }
    if (ready_.contains(item))
    {
        answer(order_result::already, incarnation_);
        return;
    }
    if (settings_.refuses_over_capacity && !loaded_.contains(item) &&
        used() + item.bytes > settings_.capacity)
    {
        answer(order_result::no_memory, incarnation_);
        return;
    }
    account();
    bool const first = loaded_.insert(item).second;
    // The engine takes what it is told; going over capacity shows in the record.
    record_.most_used = std::max(record_.most_used, used());
    if (first)
        ++record_.loads;
    queue_.after(fetch_duration(item),
                 [this, item, incarnation = incarnation_, answer = std::move(answer)]
                 {
                     if (incarnation != incarnation_ || !up_ || !loaded_.contains(item))
                     {
                         answer(order_result::unknown, 0);
                         return;
                     }
                     ready_.insert(item);
                     disk_cache_.insert(item.model);
                     if (std::find(memory_cache_.begin(), memory_cache_.end(),
                                   item.model) == memory_cache_.end())
                         memory_cache_.push_back(item.model);
                     if (memory_cache_.size() > memory_cache_models)
                         memory_cache_.pop_front();
                     answer(order_result::done, incarnation_);
                 });
}

duration fake_engine::fetch_duration(loaded_item const& item)
{
    auto const scaled = [](duration base, double factor)
    { return std::chrono::duration_cast<duration>(base * factor); };
    if (!item.adapter.empty())
    {
        weights_.most_adapter_loads =
            std::max(weights_.most_adapter_loads, ++weights_.adapter_loads);
        auto const time =
            scaled(weights_.adapter_time,
                   std::max(1.0, static_cast<double>(weights_.adapter_loads) /
                                     weights_.adapter_full_speed) *
                       weights_.slowdown);
        queue_.after(time, [this] { --weights_.adapter_loads; });
        return time;
    }
    if (std::find(memory_cache_.begin(), memory_cache_.end(), item.model) !=
        memory_cache_.end())
        return settings_.start_time;
    if (disk_cache_.contains(item.model))
        return settings_.start_time + settings_.disk_read_time;
    auto const gap = scaled(std::chrono::seconds(1), 1 / weights_.loads_per_second);
    auto const start = std::max(queue_.now(), weights_.next_start);
    weights_.next_start = start + gap;
    weights_.most_fetches = std::max(weights_.most_fetches, ++weights_.fetches);
    auto const time =
        (start - queue_.now()) +
        scaled(weights_.fetch_time, std::max(1.0, static_cast<double>(weights_.fetches) /
                                                      weights_.full_speed) *
                                        weights_.slowdown);
    queue_.after(time, [this] { --weights_.fetches; });
    return time + settings_.start_time;
}

order_result fake_engine::unload(loaded_item const& item)
{
    account();
    ready_.erase(item);
    if (item.adapter.empty())
    {
        std::erase_if(loaded_, [&](auto const& other)
                      { return other.model == item.model && !other.adapter.empty(); });
        std::erase_if(ready_,
                      [&](auto const& other) { return other.model == item.model; });
    }
    return loaded_.erase(item) != 0 ? order_result::done : order_result::not_loaded;
}

bool fake_engine::holds(model_id const& model, adapter_id const& adapter) const
{
    return std::any_of(ready_.begin(), ready_.end(),
                       [&](auto const& item)
                       { return item.model == model && item.adapter == adapter; });
}

void fake_engine::run(engine_work work, work_done done)
{
    bool const loaded =
        is_plain() || (holds(work.model, {}) &&
                       (work.adapter.empty() || holds(work.model, work.adapter)));
    if (!loaded)
    {
        done(work_result::not_loaded, 0);
        return;
    }
    if (!work.reference.empty())
        record_.executions_by_reference[work.reference].push_back(queue_.now());
    waiting_.push_back({std::move(work), std::move(done), next_task_++});
    start_waiting();
}

void fake_engine::start_waiting()
{
    while (!waiting_.empty() && (is_plain() || running_.size() < settings_.batch))
    {
        auto const next =
            std::min_element(waiting_.begin(), waiting_.end(),
                             [](auto const& left, auto const& right)
                             {
                                 return std::pair(left.work.priority, left.number) <
                                        std::pair(right.work.priority, right.number);
                             });
        task taken = std::move(*next);
        waiting_.erase(next);
        start(std::move(taken));
    }
}

void fake_engine::start(task next)
{
    account();
    if (next.work.crashes_server)
    {
        next.done(work_result::broken, 0);
        crash(std::chrono::seconds(2));
        return;
    }
    auto const left = std::max<token_count>(
        1, next.work.output_tokens - static_cast<token_count>(next.work.offset));
    auto const time = is_plain() ? settings_.plain_work
                                 : next.work.prompt_tokens * settings_.prefill_per_token +
                                       left * settings_.time_per_token;
    auto const number = next.number;
    running_.emplace(number, std::move(next));
    queue_.after(time, [this, number, incarnation = incarnation_]
                 { finish(number, incarnation); });
}

void fake_engine::finish(std::uint64_t number, incarnation_number incarnation)
{
    auto const found = running_.find(number);
    if (incarnation != incarnation_ || found == running_.end())
        return;
    account();
    task ended = std::move(found->second);
    running_.erase(found);
    ended.done(work_result::completed,
               ended.work.prompt_tokens + ended.work.output_tokens);
    start_waiting();
}

void fake_engine::cancel(request_id const& request)
{
    account();
    std::erase_if(running_, [&](auto const& entry)
                  { return entry.second.work.request == request; });
    std::erase_if(waiting_,
                  [&](auto const& entry) { return entry.work.request == request; });
    start_waiting();
}

void fake_engine::crash(duration restart_time)
{
    if (!up_)
        return;
    account();
    ++record_.crashes;
    up_ = false;
    ++incarnation_;
    loaded_.clear();
    ready_.clear();
    memory_cache_.clear();
    highest_fence_ = 0;
    std::vector<work_done> broken;
    for (auto& [number, entry] : running_)
        broken.push_back(std::move(entry.done));
    for (auto& entry : waiting_)
        broken.push_back(std::move(entry.done));
    running_.clear();
    waiting_.clear();
    for (auto& done : broken)
        done(work_result::broken, 0);
    queue_.after(restart_time, [this] { up_ = true; });
}

backend_report fake_engine::report() const
{
    backend_report taken;
    taken.backend = settings_.id;
    taken.incarnation = incarnation_;
    taken.sequence = static_cast<std::uint64_t>(queue_.now().time_since_epoch().count());
    taken.capacity_bytes = settings_.capacity;
    taken.used_bytes = used();
    taken.running = static_cast<std::uint32_t>(running_.size());
    taken.waiting = static_cast<std::uint32_t>(waiting_.size());
    taken.role = is_plain() ? "plain" : "mixed";
    taken.checks_fence = settings_.checks_fence;
    taken.loaded.assign(loaded_.begin(), loaded_.end());
    taken.cached_in_memory.assign(memory_cache_.begin(), memory_cache_.end());
    taken.cached_on_disk.assign(disk_cache_.begin(), disk_cache_.end());
    return taken;
}

} // namespace carawayturn::bench
