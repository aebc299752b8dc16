#pragma once

#include "http_client.hpp"

#include <boost/json.hpp>

#include <chrono>
#include <compare>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace carawayturn::standins
{

/// A model, or an adapter on it; an empty adapter is the model itself.
struct engine_item
{
    std::string model;
    std::string version;
    std::string adapter;
    friend auto operator<=>(engine_item const&, engine_item const&) = default;
};

struct memory_order
{
    std::string id;
    std::uint64_t fence = 0;
    std::string action;
    engine_item item;
    std::int64_t bytes = 0;
    std::string role;
};

struct memory_settings
{
    std::int64_t capacity_bytes = 0;
    bool checks_fence = true;
    /// Whether a crash forgets the highest fencing number seen.
    bool forgets_fence = false;
    /// Whether a load beyond the capacity is carried out; otherwise it is refused. It is
    /// counted in both cases.
    bool accepts_overcommit = false;
    /// 0 loads without a weight store, in `load_time`.
    std::uint16_t weight_store_port = 0;
    std::chrono::milliseconds load_time{0};
    std::chrono::milliseconds memory_load_time{0};
    std::chrono::milliseconds disk_load_time{0};
    /// Checkpoints cached in main memory and on disk.
    std::size_t memory_cache = 0;
    std::size_t disk_cache = 0;
};

/// A request's hold on a loaded item; an unload waits until all are released.
struct item_use
{
    engine_item item;
    std::uint64_t incarnation = 0;
};

/// What an engine has loaded, and the orders that changed it. Thread-safe.
class engine_memory
{
public:
    engine_memory(memory_settings settings, std::uint64_t incarnation);

    enum class ending
    {
        answered,
        /// The weight store failed; nothing was loaded.
        fetch_failed,
        /// The engine crashed while the order ran, so nothing may be claimed about it.
        crashed
    };
    struct outcome
    {
        ending end = ending::answered;
        /// One of the results of the engine protocol.
        std::string result;
        /// The incarnation that carried the order out.
        std::uint64_t incarnation = 0;
    };

    /// Carries an order out; blocks until it has taken effect.
    [[nodiscard]] outcome run(memory_order const& order);

    /// Holds the model or adapter of this name; empty if it is not loaded.
    [[nodiscard]] std::optional<item_use> use(std::string const& name);
    void release(item_use const& held);

    /// Forgets everything loaded, ends loads in progress and starts a new incarnation.
    void crash();

    [[nodiscard]] std::uint64_t incarnation() const;

    /// Adds the fields of the report that concern memory.
    void add_report(boost::json::object& report) const;
    /// Adds orders, peak use and counts of refused or suspicious orders.
    void add_log(boost::json::object& log) const;

private:
    enum class phase
    {
        loading,
        loaded,
        unloading
    };
    struct entry
    {
        std::int64_t bytes = 0;
        phase now = phase::loading;
        std::uint32_t users = 0;
    };
    struct order_record
    {
        memory_order order;
        std::string result;
        std::uint64_t incarnation = 0;
    };
    using lock_type = std::unique_lock<std::mutex>;

    [[nodiscard]] outcome run_locked(lock_type& lock, memory_order const& order);
    [[nodiscard]] bool is_stale(memory_order const& order);
    [[nodiscard]] outcome load(lock_type& lock, memory_order const& order);
    [[nodiscard]] outcome fetch_into(lock_type& lock, memory_order const& order);
    [[nodiscard]] outcome unload(lock_type& lock, memory_order const& order);
    [[nodiscard]] outcome set_role(memory_order const& order);

    [[nodiscard]] bool model_loaded(std::string const& model) const;
    [[nodiscard]] bool take_memory(std::int64_t bytes);
    [[nodiscard]] bool settled(engine_item const& item) const;
    [[nodiscard]] bool fetch(lock_type& lock, memory_order const& order);
    [[nodiscard]] bool fetch_from_store(lock_type& lock, memory_order const& order);
    [[nodiscard]] bool pause(lock_type& lock, std::chrono::milliseconds time);
    void remember_checkpoint(std::string const& model);
    [[nodiscard]] std::vector<engine_item> family_of(engine_item const& item) const;
    [[nodiscard]] bool unused(std::vector<engine_item> const& items) const;
    void erase(engine_item const& item);

    memory_settings settings_;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::uint64_t incarnation_;
    std::uint64_t highest_fence_ = 0;
    std::string role_;
    std::map<engine_item, entry> items_;
    std::int64_t used_bytes_ = 0;
    std::deque<std::string> in_memory_;
    std::deque<std::string> on_disk_;
    std::set<http_client*> fetches_;

    std::vector<order_record> orders_;
    std::int64_t peak_bytes_ = 0;
    std::uint64_t overcommitting_loads_ = 0;
    std::uint64_t stale_orders_ = 0;
};

} // namespace carawayturn::standins
