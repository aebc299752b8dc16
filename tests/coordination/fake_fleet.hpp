#pragma once

#include "coordination/config_log.hpp"
#include "coordination/serving_authority.hpp"
#include "fake_table.hpp"

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace carawayturn
{

/// Instances with serving authority and configuration log over one fake table, in
/// simulated time. Messages and answers arrive at once, in order, unless a fault or a
/// delay is set.
class fake_fleet
{
public:
    struct node
    {
        instance_identity identity;
        std::unique_ptr<serving_authority> authority;
        std::unique_ptr<config_log> config;
        bool store_cut = false;
        bool reads_cut = false;
        bool peers_cut = false;
        /// Takes no events; table answers wait until it runs again.
        bool paused = false;
        bool killed = false;
        std::deque<event> held;
        std::vector<answer_submission> answers;
        std::vector<table_read> reads;
        std::size_t commits = 0;
        std::vector<gossip> gossip_sent;
    };

    fake_table table;
    /// Messages and answers take a random time up to this, and overtake each other.
    duration max_delay{0};
    time_point now{std::chrono::seconds(1000)};

    node& start(std::string const& id, incarnation_number incarnation = 1)
    {
        auto created = std::make_unique<node>();
        auto& identity = created->identity;
        identity.id = instance_id(id);
        identity.incarnation = incarnation;
        identity.peer_address = {"127.0.0.1",
                                 static_cast<std::uint16_t>(7000 + nodes.size())};
        created->authority = serving_authority::create(identity, lease_timing{});
        created->config = config_log::create(identity, *created->authority);
        nodes.push_back(std::move(created));
        list_instances();
        return *nodes.back();
    }

    void start_many(std::size_t count)
    {
        for (std::size_t index = 0; index < count; ++index)
            start("entry-" + std::to_string(index));
    }

    void run(duration period)
    {
        for (auto const end = now + period; now < end; now += tick_interval)
            step();
    }

    void step()
    {
        for (auto& each : nodes)
            deliver(*each, tick{});
        drain();
    }

    void resume(node& target)
    {
        target.paused = false;
        for (auto held = std::exchange(target.held, {}); !held.empty(); held.pop_front())
            deliver(target, held.front());
        drain();
    }

    void submit(node& target, std::string const& operation, config_change const& change,
                std::optional<config_version> expected = std::nullopt)
    {
        event input = change_submitted{};
        auto& submitted = std::get<change_submitted>(input);
        submitted.operation = operation_id(operation);
        submitted.change = change;
        submitted.expected = expected;
        deliver(target, input);
        drain();
    }

    void deliver(node& target, event const& input)
    {
        if (target.killed)
            return;
        if (target.paused)
        {
            if (std::holds_alternative<table_answered>(input))
                target.held.push_back(input);
            return;
        }
        actions out;
        target.authority->handle(now, input, out);
        target.config->handle(now, input, out);
        for (auto& each : out)
            perform(target, each);
    }

    [[nodiscard]] std::size_t serving() const
    {
        return static_cast<std::size_t>(
            std::count_if(nodes.begin(), nodes.end(),
                          [this](auto const& each)
                          { return !each->killed && each->authority->may_serve(now); }));
    }

    std::vector<std::unique_ptr<node>> nodes;

private:
    void list_instances()
    {
        instances_listed listed;
        for (auto const& each : nodes)
        {
            listed_instance line;
            line.id = each->identity.id.str();
            line.kind = "entry";
            line.address = {"127.0.0.1", 80};
            line.peer_port = each->identity.peer_address.port;
            listed.instances.push_back(line);
        }
        for (auto& each : nodes)
            deliver(*each, listed);
        drain();
    }

    void perform(node& source, action& wanted)
    {
        if (auto* const commit = std::get_if<store_commit>(&wanted))
        {
            ++source.commits;
            answer(source, commit->commit.operation,
                   source.store_cut ? table_outcome(table_unavailable{"cut"})
                                    : table.commit(commit->commit));
        }
        else if (auto* const read = std::get_if<store_read>(&wanted))
        {
            source.reads.push_back(read->read);
            bool const cut = source.store_cut || source.reads_cut;
            answer(source, read->read.operation,
                   cut ? table_outcome(table_unavailable{"cut"})
                       : table.read(read->read));
        }
        else if (auto* const sent = std::get_if<send_peer>(&wanted))
            send(source, *sent);
        else if (auto* const raised = std::get_if<raise_event>(&wanted))
            deliver(source, raised->raised);
        else if (auto* const answered = std::get_if<answer_submission>(&wanted))
            source.answers.push_back(*answered);
    }

    void answer(node& target, operation_id const& operation, table_outcome outcome)
    {
        enqueue(target, table_answered{operation, std::move(outcome)});
    }

    void send(node& source, send_peer const& sent)
    {
        if (auto const* const message = std::get_if<gossip>(&sent.message))
            source.gossip_sent.push_back(*message);
        for (auto& each : nodes)
        {
            if (each->identity.peer_address == sent.address && !source.peers_cut &&
                !each->peers_cut)
                enqueue(*each, peer_received{source.identity.id, sent.message});
        }
    }

    void enqueue(node& target, event input)
    {
        auto const delay = max_delay.count() == 0
                               ? duration{0}
                               : duration{random_() % max_delay.count()};
        queue_.emplace(now + delay, std::pair(&target, std::move(input)));
    }

    void drain()
    {
        while (!queue_.empty() && queue_.begin()->first <= now)
        {
            auto const next = std::move(queue_.extract(queue_.begin()).mapped());
            deliver(*next.first, next.second);
        }
    }

    std::multimap<time_point, std::pair<node*, event>> queue_;
    std::mt19937_64 random_{1};
};

} // namespace carawayturn
