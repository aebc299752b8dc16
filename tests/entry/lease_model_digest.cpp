#include "entry/lease_model.hpp"

#include <algorithm>

// The digest of a state and the descriptions of steps.
namespace carawayturn::entry::lease_model
{

namespace
{

class digest
{
public:
    /// @param order the number that represents each instance in the digest.
    explicit digest(std::array<std::size_t, instance_count> const& order) : order_(order)
    {
    }

    void add_instance(std::size_t who) { add(order_[who]); }
    void add(std::uint64_t value)
    {
        hash_ = (hash_ ^ value) * 0x9e3779b97f4a7c15U;
        hash_ ^= hash_ >> 29U;
    }
    /// Times beyond the horizon of all rules are treated as equal.
    void add(time_point when, time_point now)
    {
        constexpr duration horizon = std::chrono::seconds(6);
        add(static_cast<std::uint64_t>(
            std::clamp(when - now, -horizon, horizon).count()));
    }
    void add(lease_row const& row)
    {
        add(std::uint64_t{row.holder_address.empty()});
        if (!row.holder_name.empty())
            add_instance(static_cast<std::size_t>(row.holder_name[0] - 'A'));
        add(row.holder_incarnation);
        add(row.fence);
    }
    [[nodiscard]] std::uint64_t value() const { return hash_; }

private:
    std::array<std::size_t, instance_count> order_;
    std::uint64_t hash_ = 0x2545f4914f6cdd1dU;
};

} // namespace

std::uint64_t checker_state::state_digest() const
{
    // If B's and C's clocks have the same rate, a state and the one with B and C
    // exchanged are equivalent.
    auto const value = digest_with({0, 1, 2});
    if (scenario_->clock_rate[1] != scenario_->clock_rate[2])
        return value;
    return std::min(value, digest_with({0, 2, 1}));
}

std::uint64_t
checker_state::digest_with(std::array<std::size_t, instance_count> const& numbers) const
{
    digest out(numbers);
    for (auto const who : numbers)
    {
        auto const& self = processes_[who];
        auto const now = local_time(who);
        out.add(self.incarnation);
        out.add(self.started_at, now);
        out.add(std::uint64_t{self.has_read} | std::uint64_t{self.found_no_row} << 1U |
                std::uint64_t{self.terminating} << 2U |
                std::uint64_t{self.release_sent} << 3U);
        out.add(self.lease.row());
        out.add(self.lease.version().number);
        out.add(self.lease.end(), now);
        out.add(self.lease.earliest_reclaim(), now);
        out.add(std::uint64_t{self.order.has_value()});
        if (self.order)
        {
            out.add(self.order->fence);
            out.add(std::uint64_t{self.order->sent});
            out.add(self.order->sent_at, now);
        }
        out.add(self.unanswered.value_or(time_point{}), now);
    }
    out.add(row_);
    out.add(version_);
    for (auto const& call : calls_)
    {
        out.add_instance(call.owner);
        out.add(call.incarnation);
        out.add(std::uint64_t{call.given_up} | static_cast<std::uint64_t>(call.state)
                                                   << 1U);
        out.add(call.row);
        out.add(call.expected);
        out.add(call.sent_at, local_time(call.owner));
        out.add(call.stored);
        out.add(call.version);
    }
    out.add(calls_.size());
    for (auto const& order : orders_)
    {
        out.add_instance(order.owner);
        out.add(std::uint64_t{order.awaited});
        out.add(order.fence);
        out.add(order.sent_at, now_);
    }
    out.add(orders_.size());
    for (auto const& claim : claims_)
    {
        out.add_instance(claim.owner);
        out.add(claim.incarnation << 2U | static_cast<std::uint64_t>(claim.why));
    }
    out.add(highest_fence_);
    out.add(static_cast<std::uint64_t>(terminations_ << 8 | restarts_));
    for (auto const& run : order_runs_)
    {
        out.add_instance(run.owner);
        out.add(run.sent_at, now_);
    }
    return out.value();
}

std::string checker_state::describe(step const& next) const
{
    std::string const who = names[next.who];
    auto const lease_write = [&](process const& self)
    {
        if (self.terminating)
            return std::string(" releases the lease");
        return std::string(self.lease.own_row() ? " renews the lease"
                                                : " claims the lease");
    };
    auto const call = [&] { return std::string(names[calls_[next.target].owner]); };
    switch (next.kind)
    {
    case step_kind::read:
        return who + " reads the row";
    case step_kind::write:
        return who + lease_write(processes_[next.who]) + " and gets the answer";
    case step_kind::write_answer_lost:
        return who + lease_write(processes_[next.who]) + ", the answer is lost";
    case step_kind::write_on_way:
        return who + lease_write(processes_[next.who]) + ", the write is on its way";
    case step_kind::write_takes_effect:
        return "the write of " + call() + " reaches the store";
    case step_kind::write_answered:
        return "the write of " + call() + " is answered";
    case step_kind::write_given_up:
        return call() + " no longer waits for the answer to its write";
    case step_kind::tell:
        return who + " tells " + names[next.target] + " of the row";
    case step_kind::terminate:
        return who + " receives SIGTERM";
    case step_kind::restart:
        return who + " is killed and restarts";
    case step_kind::order:
        return who + " sends an order, which arrives and is answered";
    case step_kind::order_prepared:
        return who + " prepares an order";
    case step_kind::order_leaves:
        return "the prepared order of " + who + " asks whether it may be sent";
    case step_kind::order_on_way:
        return who + " sends an order, which is on its way";
    case step_kind::order_arrives:
        return std::string("the order of ") + names[orders_[next.target].owner] +
               " with fencing number " + std::to_string(orders_[next.target].fence) +
               " arrives";
    case step_kind::order_given_up:
        return who + " no longer waits for the answer to its order";
    case step_kind::time_passes:
        return std::to_string(scenario_->time_steps[next.target].count()) + " ms pass";
    }
    return {};
}

} // namespace carawayturn::entry::lease_model
