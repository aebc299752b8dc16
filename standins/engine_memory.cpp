#include "engine_memory.hpp"

#include <algorithm>
#include <array>

namespace carawayturn::standins
{

namespace json = boost::json;

namespace
{

/// Puts a name at the front of a list of limited length.
void put_first(std::deque<std::string>& names, std::string const& name, std::size_t limit)
{
    std::erase(names, name);
    names.push_front(name);
    if (names.size() > limit)
        names.resize(limit);
}

json::array print_names(std::deque<std::string> const& names)
{
    json::array printed;
    for (auto const& name : names)
        printed.emplace_back(name);
    return printed;
}

json::object print_item(engine_item const& item, std::int64_t bytes)
{
    return {{"model", item.model},
            {"version", item.version},
            {"adapter", item.adapter},
            {"bytes", bytes}};
}

} // namespace

engine_memory::engine_memory(memory_settings settings, std::uint64_t incarnation)
    : settings_(settings), incarnation_(incarnation)
{
}

engine_memory::outcome engine_memory::run(memory_order const& order)
{
    lock_type lock(mutex_);
    std::uint64_t const started_in = incarnation_;
    outcome done = run_locked(lock, order);
    done.incarnation = started_in;
    // The engine may have crashed while the order waited for the lock or the weight
    // store.
    if (incarnation_ != started_in)
        done.end = ending::crashed;
    static constexpr std::array<char const*, 3> endings{"", "fetch_failed", "crashed"};
    orders_.push_back({order,
                       done.end == ending::answered
                           ? done.result
                           : endings.at(static_cast<std::size_t>(done.end)),
                       started_in});
    return done;
}

engine_memory::outcome engine_memory::run_locked(lock_type& lock,
                                                 memory_order const& order)
{
    if (is_stale(order))
        return {ending::answered, "stale_fence"};
    if (order.action == "load" || order.action == "load_adapter")
        return load(lock, order);
    if (order.action == "unload" || order.action == "unload_adapter")
        return unload(lock, order);
    return set_role(order);
}

bool engine_memory::is_stale(memory_order const& order)
{
    if (order.fence >= highest_fence_)
    {
        highest_fence_ = order.fence;
        return false;
    }
    ++stale_orders_;
    return settings_.checks_fence;
}

engine_memory::outcome engine_memory::load(lock_type& lock, memory_order const& order)
{
    std::uint64_t const started_in = incarnation_;
    changed_.wait(lock,
                  [&] { return incarnation_ != started_in || settled(order.item); });
    if (incarnation_ != started_in)
        return {ending::crashed, ""};
    if (items_.contains(order.item))
        return {ending::answered, "already"};
    if (!order.item.adapter.empty() && !model_loaded(order.item.model))
        return {ending::answered, "not_loaded"};
    if (!take_memory(order.bytes))
        return {ending::answered, "no_memory"};
    items_[order.item] = {order.bytes, phase::loading, 0};
    return fetch_into(lock, order);
}

engine_memory::outcome engine_memory::fetch_into(lock_type& lock,
                                                 memory_order const& order)
{
    std::uint64_t const started_in = incarnation_;
    bool const fetched = fetch(lock, order);
    if (incarnation_ != started_in)
        return {ending::crashed, ""};
    if (fetched)
        items_[order.item].now = phase::loaded;
    else
        erase(order.item);
    changed_.notify_all();
    return fetched ? outcome{ending::answered, "done"}
                   : outcome{ending::fetch_failed, ""};
}

engine_memory::outcome engine_memory::unload(lock_type& lock, memory_order const& order)
{
    std::uint64_t const started_in = incarnation_;
    auto const crashed = [&] { return incarnation_ != started_in; };
    changed_.wait(lock, [&] { return crashed() || settled(order.item); });
    if (crashed())
        return {ending::crashed, ""};
    if (!items_.contains(order.item))
        return {ending::answered, "not_loaded"};
    // No new requests or adapters are taken from here on; those in progress finish.
    items_[order.item].now = phase::unloading;
    changed_.wait(lock, [&] { return crashed() || unused(family_of(order.item)); });
    if (crashed())
        return {ending::crashed, ""};
    for (auto const& item : family_of(order.item))
        erase(item);
    changed_.notify_all();
    return {ending::answered, "done"};
}

engine_memory::outcome engine_memory::set_role(memory_order const& order)
{
    bool const same = role_ == order.role;
    role_ = order.role;
    return {ending::answered, same ? "already" : "done"};
}

bool engine_memory::model_loaded(std::string const& model) const
{
    return std::ranges::any_of(items_,
                               [&](auto const& held)
                               {
                                   return held.first.model == model &&
                                          held.first.adapter.empty() &&
                                          held.second.now == phase::loaded;
                               });
}

// The peak includes loads that are refused: it tells what the orders asked for.
bool engine_memory::take_memory(std::int64_t bytes)
{
    peak_bytes_ = std::max(peak_bytes_, used_bytes_ + bytes);
    if (used_bytes_ + bytes > settings_.capacity_bytes)
    {
        ++overcommitting_loads_;
        if (!settings_.accepts_overcommit)
            return false;
    }
    used_bytes_ += bytes;
    return true;
}

bool engine_memory::settled(engine_item const& item) const
{
    auto const found = items_.find(item);
    return found == items_.end() || found->second.now == phase::loaded;
}

bool engine_memory::fetch(lock_type& lock, memory_order const& order)
{
    std::string const& model = order.item.model;
    if (!order.item.adapter.empty())
        return fetch_from_store(lock, order);
    bool loaded = false;
    if (std::ranges::count(in_memory_, model) != 0)
        loaded = pause(lock, settings_.memory_load_time);
    else if (std::ranges::count(on_disk_, model) != 0)
        loaded = pause(lock, settings_.disk_load_time);
    else
        loaded = fetch_from_store(lock, order);
    if (loaded)
        remember_checkpoint(model);
    return loaded;
}

bool engine_memory::fetch_from_store(lock_type& lock, memory_order const& order)
{
    if (settings_.weight_store_port == 0)
        return pause(lock, settings_.load_time);
    bool const adapter = !order.item.adapter.empty();
    json::object const body{{"name", adapter ? order.item.adapter : order.item.model},
                            {"bytes", order.bytes},
                            {"kind", adapter ? "adapter" : "model"}};
    std::uint64_t const started_in = incarnation_;
    http_client client;
    fetches_.insert(&client);
    lock.unlock();
    auto const answer =
        client.post(settings_.weight_store_port, "/v1/fetch", json::serialize(body));
    lock.lock();
    fetches_.erase(&client);
    return answer.status == 200 && incarnation_ == started_in;
}

bool engine_memory::pause(lock_type& lock, std::chrono::milliseconds time)
{
    std::uint64_t const started_in = incarnation_;
    return !changed_.wait_for(lock, time, [&] { return incarnation_ != started_in; });
}

void engine_memory::remember_checkpoint(std::string const& model)
{
    put_first(in_memory_, model, settings_.memory_cache);
    put_first(on_disk_, model, settings_.disk_cache);
}

/// The item, and for a model also its adapters.
std::vector<engine_item> engine_memory::family_of(engine_item const& item) const
{
    std::vector<engine_item> family;
    for (auto const& [held, ignored] : items_)
    {
        if (held == item ||
            (item.adapter.empty() && held.model == item.model && !held.adapter.empty()))
            family.push_back(held);
    }
    return family;
}

bool engine_memory::unused(std::vector<engine_item> const& items) const
{
    return std::ranges::all_of(items,
                               [&](engine_item const& item)
                               {
                                   auto const& held = items_.at(item);
                                   return held.users == 0 && held.now != phase::loading;
                               });
}

void engine_memory::erase(engine_item const& item)
{
    used_bytes_ -= items_.at(item).bytes;
    items_.erase(item);
}

std::optional<item_use> engine_memory::use(std::string const& name)
{
    lock_type const lock(mutex_);
    for (auto& [item, held] : items_)
    {
        auto const& own_name = item.adapter.empty() ? item.model : item.adapter;
        if (own_name != name || held.now != phase::loaded || !model_loaded(item.model))
            continue;
        ++held.users;
        return item_use{item, incarnation_};
    }
    return std::nullopt;
}

void engine_memory::release(item_use const& held)
{
    lock_type const lock(mutex_);
    if (held.incarnation != incarnation_)
        return;
    --items_.at(held.item).users;
    changed_.notify_all();
}

void engine_memory::crash()
{
    lock_type const lock(mutex_);
    ++incarnation_;
    items_.clear();
    used_bytes_ = 0;
    in_memory_.clear();
    role_.clear();
    if (settings_.forgets_fence)
        highest_fence_ = 0;
    for (auto* fetch : fetches_)
        fetch->abort();
    changed_.notify_all();
}

std::uint64_t engine_memory::incarnation() const
{
    lock_type const lock(mutex_);
    return incarnation_;
}

void engine_memory::add_report(json::object& report) const
{
    lock_type const lock(mutex_);
    json::array loaded;
    for (auto const& [item, held] : items_)
    {
        if (held.now == phase::loaded)
            loaded.push_back(print_item(item, held.bytes));
    }
    report["incarnation"] = incarnation_;
    report["capacity_bytes"] = settings_.capacity_bytes;
    report["used_bytes"] = used_bytes_;
    report["role"] = role_;
    report["checks_fence"] = settings_.checks_fence;
    report["loaded"] = std::move(loaded);
    report["cached"] = json::object{{"memory", print_names(in_memory_)},
                                    {"disk", print_names(on_disk_)}};
}

void engine_memory::add_log(json::object& log) const
{
    lock_type const lock(mutex_);
    json::array orders;
    for (auto const& [order, result, incarnation] : orders_)
        orders.push_back(json::object{{"order_id", order.id},
                                      {"fence", order.fence},
                                      {"action", order.action},
                                      {"item", print_item(order.item, order.bytes)},
                                      {"result", result},
                                      {"incarnation", incarnation}});
    log["orders"] = std::move(orders);
    log["incarnation"] = incarnation_;
    log["capacity_bytes"] = settings_.capacity_bytes;
    log["used_bytes"] = used_bytes_;
    log["peak_bytes"] = peak_bytes_;
    log["overcommitting_loads"] = overcommitting_loads_;
    log["stale_orders"] = stale_orders_;
}

} // namespace carawayturn::standins
