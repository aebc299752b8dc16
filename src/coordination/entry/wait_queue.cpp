#include "coordination/entry/wait_queue.hpp"

#include "state/entry/time_units.hpp"

#include <algorithm>
#include <array>
#include <tuple>
#include <utility>
#include <vector>

namespace carawayturn::entry
{

namespace
{

/// A request is pressing if its latest start lies within the time that its line needs,
/// within these bounds. The lower one covers the time until waiting requests are woken.
constexpr duration min_pressing_time = std::chrono::milliseconds(300);
constexpr duration max_pressing_time = std::chrono::seconds(5);
/// The order is determined anew after this time, because the urgency changes with time.
constexpr duration pick_validity = std::chrono::milliseconds(5);
/// Lines without requests are kept for their rate, up to this number.
constexpr std::size_t max_lines = 256;
constexpr duration unused_line_time = std::chrono::seconds(30);
constexpr duration cleanup_interval = std::chrono::seconds(1);

using wait_order = bool (*)(wait_rank const&, wait_rank const&);

bool by_priority(wait_rank const& a, wait_rank const& b)
{
    return std::tie(a.priority, a.sequence) < std::tie(b.priority, b.sequence);
}

bool by_urgency(wait_rank const& a, wait_rank const& b)
{
    return std::tie(a.urgency, a.priority, a.turn, a.arrival, a.sequence) <
           std::tie(b.urgency, b.priority, b.turn, b.arrival, b.sequence);
}

bool by_arrival(wait_rank const& a, wait_rank const& b)
{
    return std::tie(a.arrival, a.sequence) < std::tie(b.arrival, b.sequence);
}

bool by_deadline(wait_rank const& a, wait_rank const& b)
{
    return std::tie(a.latest_start, a.sequence) < std::tie(b.latest_start, b.sequence);
}

bool by_turn(wait_rank const& a, wait_rank const& b)
{
    return std::tie(a.turn, a.arrival, a.sequence) <
           std::tie(b.turn, b.arrival, b.sequence);
}

/// Returns the order of a rule. The array is in the order of the enumeration.
wait_order order_of(wait_rule rule)
{
    static constexpr std::array<wait_order, 5> orders{by_priority, by_urgency, by_arrival,
                                                      by_deadline, by_turn};
    return orders.at(static_cast<std::size_t>(rule));
}

std::string service_of(std::string const& target)
{
    return target.substr(0, target.find('/'));
}

} // namespace

duration wait_queue::pressing_time(line const& waiting, time_point now)
{
    double const rate = waiting.rate.per_second(now);
    if (rate <= 0)
        return max_pressing_time;
    double const drain_s = static_cast<double>(waiting.entries.size()) / rate;
    return std::clamp(from_seconds(std::min(drain_s, to_seconds(max_pressing_time))),
                      min_pressing_time, max_pressing_time);
}

wait_rank wait_queue::rank_of(line const& waiting, wait_terms const& terms,
                              std::uint64_t sequence, duration pressing, time_point now)
{
    wait_rank rank;
    bool const late = now > terms.objective_start;
    if (now > terms.deadline_start)
        rank.urgency = wait_urgency::lost;
    else if (late || now + pressing < terms.objective_start)
        rank.urgency = wait_urgency::deferred;
    rank.priority = terms.priority;
    rank.turn = waiting.turns.turn_of(terms.organisation);
    rank.latest_start = late ? terms.deadline_start : terms.objective_start;
    rank.arrival = terms.arrival;
    rank.sequence = sequence;
    return rank;
}

wait_queue_entry* wait_queue::find_underserved(line& waiting, wait_queue_entry& best,
                                               duration pressing, time_point now)
{
    auto const& shares = shares_of(best.terms_.target);
    std::map<std::uint32_t, std::pair<std::size_t, wait_queue_entry*>> late;
    wait_rank first_rank;
    for (auto const& [sequence, entry] : waiting.entries)
    {
        auto const& terms = entry->terms_;
        if (terms.priority >= best.terms_.priority || now <= terms.objective_start ||
            now > terms.deadline_start)
            continue;
        auto& [count, first] = late[terms.priority];
        auto const rank = rank_of(waiting, terms, sequence, pressing, now);
        if (first == nullptr || by_urgency(rank, first_rank))
        {
            first = entry;
            first_rank = rank;
        }
        ++count;
    }
    for (auto const& [priority, found] : late)
        if (shares.is_below(priority, found.first, best.terms_.priority))
            return found.second;
    return nullptr;
}

wait_queue_entry* wait_queue::pick_anew(line& waiting, time_point now)
{
    auto const before = order_of(waiting.rule);
    auto const pressing = pressing_time(waiting, now);
    wait_queue_entry* best = nullptr;
    wait_rank best_rank;
    double first_turn = 0;
    for (auto const& [sequence, entry] : waiting.entries)
    {
        auto const rank = rank_of(waiting, entry->terms_, sequence, pressing, now);
        first_turn = best == nullptr ? rank.turn : std::min(first_turn, rank.turn);
        if (best != nullptr && !before(rank, best_rank))
            continue;
        best = entry;
        best_rank = rank;
    }
    if (best == nullptr)
        return nullptr;
    waiting.turns.advance(first_turn);
    if (waiting.rule != wait_rule::timely || best_rank.urgency != wait_urgency::pressing)
        return best;
    auto* const underserved = find_underserved(waiting, *best, pressing, now);
    return underserved != nullptr ? underserved : best;
}

wait_queue_entry* wait_queue::pick(line& waiting, time_point now)
{
    if (waiting.first == nullptr || now - waiting.picked_at >= pick_validity)
    {
        waiting.first = pick_anew(waiting, now);
        waiting.picked_at = now;
    }
    return waiting.first;
}

bool wait_queue::must_wait(wait_terms const& terms, wait_rule rule, time_point now)
{
    auto const found = lines_.find(terms.target);
    if (found == lines_.end() || found->second.entries.empty())
        return false;
    auto& waiting = found->second;
    auto const pressing = pressing_time(waiting, now);
    auto const* const first = pick(waiting, now);
    return order_of(rule)(
        rank_of(waiting, first->terms_, first->sequence_, pressing, now),
        rank_of(waiting, terms, next_sequence_, pressing, now));
}

std::size_t wait_queue::count_ahead(wait_terms const& terms, wait_rule rule,
                                    time_point now) const
{
    auto const found = lines_.find(terms.target);
    if (found == lines_.end())
        return 0;
    auto const& waiting = found->second;
    auto const pressing = pressing_time(waiting, now);
    auto const own = rank_of(waiting, terms, next_sequence_, pressing, now);
    auto const before = order_of(rule);
    return static_cast<std::size_t>(std::count_if(
        waiting.entries.begin(), waiting.entries.end(),
        [&](auto const& entry)
        {
            return before(
                rank_of(waiting, entry.second->terms_, entry.first, pressing, now), own);
        }));
}

bool wait_queue::displace_for(std::uint32_t priority)
{
    wait_queue_entry* last = nullptr;
    for (auto const& [target, waiting] : lines_)
        for (auto const& [sequence, entry] : waiting.entries)
        {
            auto const& terms = entry->terms_;
            if (terms.priority <= priority || entry->displaced_)
                continue;
            if (last == nullptr || std::tie(terms.priority, sequence) >
                                       std::tie(last->terms_.priority, last->sequence_))
                last = entry;
        }
    if (last == nullptr)
        return false;
    last->displaced_ = true;
    last->wake_();
    return true;
}

void wait_queue::note_dispatch(wait_terms const& terms, time_point now)
{
    auto& waiting = lines_[terms.target];
    waiting.rate.note_dispatch(now);
    waiting.turns.note_dispatch(terms.organisation);
    waiting.first = nullptr;
    shares_of(terms.target).note(terms.priority, true, now);
    forget_unused_lines(now);
}

void wait_queue::note_refusal(wait_terms const& terms, time_point now)
{
    shares_of(terms.target).note(terms.priority, false, now);
}

double wait_queue::sent_per_second(std::string const& target, time_point now) const
{
    auto const found = lines_.find(target);
    return found == lines_.end() ? 0 : found->second.rate.per_second(now);
}

dispatch_rate& wait_queue::rate_of(std::string const& target, time_point now)
{
    forget_unused_lines(now);
    return lines_[target].rate;
}

served_shares& wait_queue::shares_of(std::string const& target)
{
    return shares_[service_of(target)];
}

void wait_queue::forget_unused_lines(time_point now)
{
    if (lines_.size() <= max_lines || now < next_cleanup_)
        return;
    next_cleanup_ = now + cleanup_interval;
    for (auto next = lines_.begin(); next != lines_.end();)
    {
        auto const& waiting = next->second;
        bool const used =
            !waiting.entries.empty() || now - waiting.rate.last_use() < unused_line_time;
        next = used ? std::next(next) : lines_.erase(next);
    }
}

void wait_queue::wake(time_point now)
{
    std::vector<std::pair<wait_rank, wait_queue_entry*>> firsts;
    for (auto& [target, waiting] : lines_)
        if (auto* const first = waiting.entries.empty() ? nullptr : pick(waiting, now))
            firsts.emplace_back(rank_of(waiting, first->terms_, first->sequence_,
                                        pressing_time(waiting, now), now),
                                first);
    std::sort(firsts.begin(), firsts.end(),
              [](auto const& a, auto const& b) { return by_urgency(a.first, b.first); });
    for (auto const& [rank, entry] : firsts)
        entry->wake_();
}

void wait_queue::wake_all()
{
    for (auto const& [target, waiting] : lines_)
        for (auto const& [sequence, entry] : waiting.entries)
            entry->wake_();
}

std::map<std::uint32_t, wait_queue::priority_summary>
wait_queue::summarize(time_point now) const
{
    std::map<std::uint32_t, priority_summary> summary;
    for (auto const& [priority, waiting] : waiting_by_priority_)
        summary[priority].waiting = waiting;
    for (auto const& [target, waiting] : lines_)
        for (auto const& [sequence, entry] : waiting.entries)
        {
            auto& oldest = summary[entry->terms_.priority].oldest;
            oldest = std::max(oldest, now - entry->terms_.arrival);
        }
    return summary;
}

void wait_queue::insert(wait_queue_entry& entry, wait_rule rule)
{
    auto& waiting = lines_[entry.terms_.target];
    waiting.entries.emplace(entry.sequence_, &entry);
    waiting.rule = rule;
    waiting.first = nullptr;
    ++waiting_by_priority_[entry.terms_.priority];
    ++size_;
}

void wait_queue::erase(wait_queue_entry& entry)
{
    auto& waiting = lines_[entry.terms_.target];
    bool const was_first = waiting.first == nullptr || waiting.first == &entry;
    waiting.entries.erase(entry.sequence_);
    --waiting_by_priority_[entry.terms_.priority];
    --size_;
    if (!was_first)
        return;
    // The time of the last pick serves as the present; is_first() picks anew.
    waiting.first = pick_anew(waiting, waiting.picked_at);
    if (waiting.first != nullptr)
        waiting.first->wake_();
}

wait_queue_entry::wait_queue_entry(wait_queue& queue, wait_terms terms, wait_rule rule,
                                   std::function<void()> wake)
    : queue_(queue), terms_(std::move(terms)), sequence_(queue.next_sequence_++),
      wake_(std::move(wake))
{
    queue_.insert(*this, rule);
}

wait_queue_entry::~wait_queue_entry()
{
    queue_.erase(*this);
}

bool wait_queue_entry::is_first(time_point now) const
{
    auto& waiting = queue_.lines_.find(terms_.target)->second;
    auto const* const before = waiting.first;
    auto* const first = queue_.pick(waiting, now);
    // Urgency changes with time, so the request that is first now may not know.
    if (first != this && first != before)
        first->wake_();
    return first == this;
}

} // namespace carawayturn::entry
