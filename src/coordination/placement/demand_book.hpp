#pragma once

#include "coordination/placement/usage_history.hpp"
#include "state/peer_message.hpp"

#include <compare>
#include <map>
#include <vector>

namespace carawayturn::placement
{

/// Names a model, or an adapter on it.
struct item_key
{
    model_id model;
    adapter_id adapter;
    friend auto operator<=>(item_key const&, item_key const&) = default;
};

[[nodiscard]] inline item_key key_of(loaded_item const& item)
{
    return {item.model, item.adapter};
}

/// Demand for one item over all instances.
struct item_demand
{
    std::uint32_t waiting = 0;
    time_point oldest{};
    time_point tightest_deadline{};
    /// The organisation of the longest wait.
    organisation_id organisation;
};

/// Demand for the items of one pool, as all instances report it, and the usage history
/// that follows from it. Reports are absolute: per instance incarnation the highest
/// sequence counts, and an instance that falls silent no longer waits for anything.
class demand_book
{
public:
    /// Takes a report. Returns whether it tells of a waiting item that nobody waited for.
    bool apply(time_point now, instance_id const& from, demand_report const& report);

    /// Forgets the demand of instances that have been silent for too long.
    void expire(time_point now);

    [[nodiscard]] std::map<item_key, item_demand> const& waiting() const;
    [[nodiscard]] item_demand demand(item_key const& item) const;
    [[nodiscard]] usage_history const& usage(item_key const& item) const;
    [[nodiscard]] std::map<item_key, usage_history> const& usages() const
    {
        return usage_;
    }

private:
    struct entry
    {
        item_demand demand;
        item_key item;
    };
    struct sender
    {
        incarnation_number incarnation = 0;
        std::uint64_t sequence = 0;
        time_point heard{};
        std::vector<entry> entries;
        std::map<item_key, std::uint64_t> arrivals;
    };

    bool accept(sender& from, time_point now, demand_report const& report);
    void note_arrivals(sender& from, time_point now, demand_entry const& reported);
    void note_use(time_point now, item_key const& item);

    void replace_entries(sender& from, std::vector<entry> entries);

    std::map<instance_id, sender> senders_;
    /// Number of instances with requests waiting for each item.
    std::map<item_key, std::uint32_t> waiting_senders_;
    std::map<item_key, usage_history> usage_;
    mutable std::map<item_key, item_demand> waiting_;
    mutable bool current_ = true;
};

} // namespace carawayturn::placement
