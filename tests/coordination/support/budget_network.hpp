#pragma once

#include "coordination/budget_manager.hpp"

#include <algorithm>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace carawayturn::testing_support
{

class fake_config_log final : public config_log
{
public:
    fleet_config config;
    [[nodiscard]] fleet_config const& current() const override { return config; }
    void handle(time_point, event const&, actions&) override {}
    [[nodiscard]] std::string dump(time_point) const override { return "{}"; }
};

class fake_serving_authority final : public serving_authority
{
public:
    std::optional<held_slot> held;
    std::vector<member_entry> members;
    time_point authority_until = time_point::max();
    bool store_contact = true;

    void set_config(config_view) override {}
    [[nodiscard]] bool may_serve(time_point now) const override
    {
        return now < authority_until;
    }
    [[nodiscard]] bool lease_valid(time_point now) const override
    {
        return may_serve(now);
    }
    [[nodiscard]] duration lease_left(time_point now) const override
    {
        return std::max(duration(0), authority_until - now);
    }
    [[nodiscard]] std::optional<held_slot> slot() const override { return held; }
    [[nodiscard]] bool owns_base_share(time_point now) const override
    {
        return held.has_value() && may_serve(now);
    }
    [[nodiscard]] std::vector<member_entry> live_members(time_point) const override
    {
        return members;
    }
    [[nodiscard]] bool proven_stopped(time_point, slot_number,
                                      fencing_number) const override
    {
        return false;
    }
    [[nodiscard]] std::vector<instance_id> unconfirmed(time_point,
                                                       config_version) const override
    {
        return {};
    }
    [[nodiscard]] bool has_store_contact(time_point) const override
    {
        return store_contact;
    }
    void set_state(time_point, instance_state, actions&) override {}
    void handle(time_point, event const&, actions&) override {}
    [[nodiscard]] std::string dump(time_point) const override { return "{}"; }
};

/// An ideal token bucket of the whole fleet, full at the start.
class ideal_bucket
{
public:
    ideal_bucket(double rate, double burst) : rate_(rate), burst_(burst), level_(burst) {}

    void charge(time_point now, double tokens)
    {
        advance(now);
        level_ -= tokens;
        lowest_ = std::min(lowest_, level_);
    }
    void change(time_point now, double rate, double burst)
    {
        advance(now);
        rate_ = rate;
        burst_ = burst;
    }
    [[nodiscard]] double lowest() const { return lowest_; }

private:
    void advance(time_point now)
    {
        level_ = std::min(
            burst_, level_ + rate_ * std::chrono::duration<double>(now - at_).count());
        at_ = now;
    }
    double rate_;
    double burst_;
    double level_;
    double lowest_ = std::numeric_limits<double>::max();
    time_point at_{};
};

/// Managers on a simulated network with a slot table. Each has a clock of its own.
class budget_network
{
public:
    struct faults
    {
        double loss = 0;
        double doubling = 0;
        duration delay_min = std::chrono::microseconds(500);
        duration delay_max = std::chrono::microseconds(2500);
        /// Part of the messages that take up to 3 s.
        double straggling = 0;
    };
    struct totals
    {
        int asked = 0;
        int granted = 0;
        int refused = 0;
        double tokens = 0;
        std::map<request_id, duration> retry_after;
    };

    budget_network(std::size_t count, double rate, token_count burst, std::uint64_t seed)
        : random_(seed), ideal_(rate, static_cast<double>(burst)), slots_(count)
    {
        config_.instance_slots = static_cast<std::uint32_t>(count);
        set_limits(rate, burst);
        for (std::size_t slot = 0; slot < count; ++slot)
        {
            start(slot);
        }
    }

    faults net;
    totals sum;
    /// Messages sent, by index in peer_message.
    std::map<std::size_t, int> sent;
    organisation_id organisation{"acme"};
    /// Which members an instance leaves out of its view.
    std::function<bool(std::size_t viewer, std::size_t member)> hidden =
        [](std::size_t, std::size_t) { return false; };

    /// Messages that are lost for certain.
    std::function<bool(std::size_t from, std::size_t to, peer_message const&)> cut =
        [](std::size_t, std::size_t, peer_message const&) { return false; };
    /// Slots whose holders cannot renew their lease although they run.
    std::function<bool(std::size_t slot)> unrenewed = [](std::size_t) { return false; };

    [[nodiscard]] time_point now() const { return now_; }
    [[nodiscard]] ideal_bucket const& ideal() const { return ideal_; }
    [[nodiscard]] std::size_t node_count() const { return nodes_.size(); }
    /// The node that holds the slot, or held it last.
    [[nodiscard]] std::size_t holder(std::size_t slot) const
    {
        return slots_[slot].holder;
    }
    [[nodiscard]] bool running(std::size_t index) const
    {
        return nodes_[index]->alive && nodes_[index]->paused_until <= now_;
    }
    std::mt19937_64& random() { return random_; }
    double uniform() { return std::uniform_real_distribution<>(0, 1)(random_); }

    void set_limits(double rate, token_count burst)
    {
        config_.organisations[organisation] = {organisation, rate, burst, {}, {}, {}};
        ideal_.change(now_, rate, static_cast<double>(burst));
        for (auto& each : nodes_)
        {
            each->config.config = config_;
        }
    }

    /// Kills the process; the slot's next holder starts once the lease has lapsed.
    void kill(std::size_t index) { nodes_[index]->alive = false; }
    void pause(std::size_t index, duration length)
    {
        nodes_[index]->paused_until = now_ + length;
    }

    request_id submit(std::size_t index, token_count tokens, token_count used = -1,
                      duration runs = duration(0))
    {
        node& at = *nodes_[index];
        request_id const id("r" + std::to_string(++requests_));
        ++sum.asked;
        jobs_[id] = {tokens, used < 0 ? tokens : used, runs, index};
        actions out;
        auto const answer = at.manager->reserve(local(at), id, organisation, tokens, out);
        if (answer.outcome != reserve_outcome::pending)
        {
            decide(at, id, answer.outcome == reserve_outcome::granted,
                   answer.retry_after);
        }
        perform(at, out);
        return id;
    }

    /// Advances by one millisecond.
    void step()
    {
        now_ += std::chrono::milliseconds(1);
        while (!wire_.empty() && wire_.top().at <= now_)
        {
            packet const next = wire_.top();
            wire_.pop();
            deliver(next);
        }
        while (!endings_.empty() && endings_.begin()->first <= now_)
        {
            finish(endings_.begin()->second);
            endings_.erase(endings_.begin());
        }
        keep_slots();
        for (std::size_t index = 0; index < nodes_.size(); ++index)
        {
            tick_node(*nodes_[index], index);
        }
    }
    void run(
        duration length, std::function<void()> const& each = [] {})
    {
        for (time_point const end = now_ + length; now_ < end;)
        {
            step();
            each();
        }
    }

    /// The node that most members would ask, by its own dump; see owner of the manager.
    [[nodiscard]] std::size_t owner() const
    {
        for (std::size_t index = 0; index < nodes_.size(); ++index)
        {
            std::string const text = "\"owner\":\"" + nodes_[index]->identity.id.str();
            if (nodes_[index]->alive &&
                nodes_[index]->manager->dump(now_).find(text + "\"") != std::string::npos)
            {
                return index;
            }
        }
        return 0;
    }
    [[nodiscard]] std::string dump(std::size_t index) const
    {
        return nodes_[index]->manager->dump(local(*nodes_[index]));
    }
    void withdraw(std::size_t index, request_id const& id)
    {
        nodes_[index]->manager->settle(local(*nodes_[index]), id, 0);
    }
    void release(std::size_t index)
    {
        actions out;
        nodes_[index]->manager->release_all(local(*nodes_[index]), out);
        perform(*nodes_[index], out);
    }

private:
    struct node
    {
        instance_identity identity;
        fake_config_log config;
        fake_serving_authority authority;
        std::unique_ptr<budget_manager> manager;
        duration clock_offset{0};
        std::size_t slot = 0;
        bool alive = true;
        bool lost_slot = false;
        time_point paused_until{};
        time_point next_tick{};
        std::vector<std::pair<instance_id, peer_message>> inbox;
    };
    struct slot_row
    {
        fencing_number fence = 0;
        std::size_t holder = 0;
        time_point renewed_at{};
    };
    struct packet
    {
        time_point at{};
        std::uint64_t order = 0;
        std::size_t to = 0;
        instance_id from;
        peer_message message;
        friend bool operator<(packet const& left, packet const& right)
        {
            return std::tie(left.at, left.order) > std::tie(right.at, right.order);
        }
    };
    struct job
    {
        token_count tokens = 0;
        token_count used = 0;
        duration runs{0};
        std::size_t node = 0;
    };

    static constexpr duration lease = std::chrono::milliseconds(5400);
    static constexpr duration takeover = std::chrono::milliseconds(6600);

    [[nodiscard]] time_point local(node const& at) const
    {
        return now_ + at.clock_offset;
    }

    void start(std::size_t slot)
    {
        auto made = std::make_unique<node>();
        std::size_t const index = nodes_.size();
        slots_[slot] = {slots_[slot].fence + 1, index, now_};
        made->identity.id = instance_id("entry-" + std::to_string(index));
        made->identity.incarnation = index + 1;
        made->config.config = config_;
        made->slot = slot;
        made->clock_offset = std::chrono::seconds(1000 * (index + 1));
        made->next_tick = now_ + duration(index * 1000);
        made->authority.held =
            held_slot{static_cast<slot_number>(slot), slots_[slot].fence, {"slots", 1}};
        made->manager =
            budget_manager::create(made->identity, made->config, made->authority);
        nodes_.push_back(std::move(made));
    }

    /// Renews leases each 2 s and gives the slots of stopped holders to new processes.
    void keep_slots()
    {
        for (std::size_t slot = 0; slot < slots_.size(); ++slot)
        {
            slot_row& row = slots_[slot];
            node& holder = *nodes_[row.holder];
            bool const acting =
                holder.alive && holder.paused_until <= now_ && !unrenewed(slot);
            if (acting && row.renewed_at + std::chrono::seconds(2) <= now_)
            {
                row.renewed_at = now_;
            }
            holder.authority.authority_until =
                local(holder) - now_ + row.renewed_at + lease;
            if (row.renewed_at + takeover < now_)
            {
                holder.lost_slot = true;
                start(slot);
            }
        }
    }

    void tick_node(node& at, std::size_t index)
    {
        if (!at.alive || at.paused_until > now_)
        {
            return;
        }
        if (at.lost_slot)
        {
            at.authority.held.reset();
        }
        for (auto& [from, message] : std::exchange(at.inbox, {}))
        {
            give(at, peer_received{from, message});
        }
        if (at.next_tick <= now_)
        {
            at.next_tick = now_ + tick_interval;
            update_view(at, index);
            give(at, tick{});
        }
    }

    void update_view(node& at, std::size_t index)
    {
        at.authority.members.clear();
        for (auto const& row : slots_)
        {
            node const& other = *nodes_[row.holder];
            if (!hidden(index, row.holder))
            {
                member_entry entry;
                entry.id = other.identity.id;
                entry.incarnation = other.identity.incarnation;
                entry.has_slot = true;
                entry.state = instance_state::ready;
                entry.slot = static_cast<slot_number>(other.slot);
                at.authority.members.push_back(entry);
            }
        }
    }

    void give(node& at, event const& input)
    {
        actions out;
        at.manager->handle(local(at), input, out);
        perform(at, out);
    }

    void perform(node& at, actions const& out)
    {
        for (auto const& entry : out)
        {
            if (auto const* const message = std::get_if<send_peer>(&entry))
            {
                transmit(at, *message);
            }
            else if (auto const* const raised = std::get_if<raise_event>(&entry))
            {
                auto const& decided = std::get<budget_decided>(raised->raised);
                decide(at, decided.request, decided.granted, decided.retry_after);
            }
        }
    }

    void transmit(node const& from, send_peer const& message)
    {
        ++sent[message.message.index()];
        int copies = uniform() < net.loss ? 0 : 1;
        copies += uniform() < net.doubling ? 1 : 0;
        for (; copies > 0; --copies)
        {
            std::uniform_int_distribution<duration::rep> delay(net.delay_min.count(),
                                                               net.delay_max.count());
            duration late(delay(random_));
            if (uniform() < net.straggling)
            {
                late += duration(static_cast<duration::rep>(3e6 * uniform()));
            }
            for (std::size_t to = 0; to < nodes_.size(); ++to)
            {
                if (nodes_[to]->identity.id == message.to &&
                    !cut(index_of(from), to, message.message))
                {
                    wire_.push(
                        {now_ + late, ++order_, to, from.identity.id, message.message});
                }
            }
        }
    }

    [[nodiscard]] static std::size_t index_of(node const& at)
    {
        return at.identity.incarnation - 1;
    }

    void deliver(packet const& next)
    {
        node& to = *nodes_[next.to];
        if (to.alive && to.paused_until > now_)
        {
            to.inbox.emplace_back(next.from, next.message);
        }
        else if (to.alive)
        {
            give(to, peer_received{next.from, next.message});
        }
    }

    void decide(node& at, request_id const& id, bool granted, duration retry_after)
    {
        job const& done = jobs_.at(id);
        sum.granted += granted ? 1 : 0;
        sum.refused += granted ? 0 : 1;
        if (!granted)
        {
            sum.retry_after[id] = retry_after;
            return;
        }
        sum.tokens += static_cast<double>(done.used);
        ideal_.charge(now_, static_cast<double>(done.used));
        static_cast<void>(at);
        endings_.emplace(now_ + done.runs, id);
    }

    void finish(request_id const& id)
    {
        job const& done = jobs_.at(id);
        node& at = *nodes_[done.node];
        if (at.alive && at.paused_until <= now_)
        {
            at.manager->settle(local(at), id, done.used);
        }
    }

    std::mt19937_64 random_;
    time_point now_{};
    fleet_config config_;
    ideal_bucket ideal_;
    std::vector<slot_row> slots_;
    std::vector<std::unique_ptr<node>> nodes_;
    std::priority_queue<packet> wire_;
    std::multimap<time_point, request_id> endings_;
    std::map<request_id, job> jobs_;
    std::uint64_t order_ = 0;
    int requests_ = 0;
};

} // namespace carawayturn::testing_support
