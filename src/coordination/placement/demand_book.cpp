#include "coordination/placement/demand_book.hpp"

namespace carawayturn::placement
{

namespace
{

// Twelve reports lost in a row.
constexpr duration silence_limit = std::chrono::seconds(3);
// Senders are kept longer than their demand, so that arrivals and sequences heard before
// are not counted again.
constexpr duration sender_limit = std::chrono::minutes(10);

void merge(item_demand& total, item_demand const& part)
{
    if (total.waiting == 0 || part.oldest < total.oldest)
    {
        total.oldest = part.oldest;
        total.organisation = part.organisation;
    }
    if (total.waiting == 0 || part.tightest_deadline < total.tightest_deadline)
        total.tightest_deadline = part.tightest_deadline;
    total.waiting += part.waiting;
}

} // namespace

bool demand_book::accept(sender& from, time_point now, demand_report const& report)
{
    if (report.incarnation < from.incarnation ||
        (report.incarnation == from.incarnation && report.sequence <= from.sequence))
        return false;
    if (report.incarnation > from.incarnation)
        from.arrivals.clear();
    from.incarnation = report.incarnation;
    from.sequence = report.sequence;
    from.heard = now;
    return true;
}

bool demand_book::apply(time_point now, instance_id const& from,
                        demand_report const& report)
{
    auto& known = senders_[from];
    if (!accept(known, now, report))
        return false;
    bool first = false;
    std::vector<entry> entries;
    for (auto const& reported : report.entries)
    {
        note_arrivals(known, now, reported);
        if (reported.waiting == 0)
            continue;
        item_key const item{reported.model, reported.adapter};
        first = first || !waiting_senders_.contains(item);
        entries.push_back({{reported.waiting, now - reported.oldest_wait,
                            now + reported.tightest_deadline, reported.organisation},
                           item});
    }
    replace_entries(known, std::move(entries));
    return first;
}

void demand_book::replace_entries(sender& from, std::vector<entry> entries)
{
    for (auto const& old : from.entries)
    {
        if (--waiting_senders_[old.item] == 0)
            waiting_senders_.erase(old.item);
    }
    from.entries = std::move(entries);
    for (auto const& added : from.entries)
        ++waiting_senders_[added.item];
    current_ = false;
}

void demand_book::note_arrivals(sender& from, time_point now,
                                demand_entry const& reported)
{
    item_key const item{reported.model, reported.adapter};
    auto& arrivals = from.arrivals[item];
    if (reported.waiting == 0 && reported.arrivals <= arrivals)
        return;
    arrivals = std::max(arrivals, reported.arrivals);
    note_use(now, item);
    // Use of an adapter is use of its model.
    if (!item.adapter.empty())
        note_use(now, {item.model, {}});
}

void demand_book::note_use(time_point now, item_key const& item)
{
    usage_[item].note_use(now);
}

void demand_book::expire(time_point now)
{
    for (auto& [id, known] : senders_)
    {
        if (known.heard + silence_limit >= now || known.entries.empty())
            continue;
        replace_entries(known, {});
    }
    std::erase_if(senders_, [now](auto const& known)
                  { return known.second.heard + sender_limit < now; });
}

std::map<item_key, item_demand> const& demand_book::waiting() const
{
    if (!current_)
    {
        waiting_.clear();
        for (auto const& [id, known] : senders_)
        {
            for (auto const& part : known.entries)
                merge(waiting_[part.item], part.demand);
        }
        current_ = true;
    }
    return waiting_;
}

item_demand demand_book::demand(item_key const& item) const
{
    auto const found = waiting().find(item);
    return found == waiting().end() ? item_demand{} : found->second;
}

usage_history const& demand_book::usage(item_key const& item) const
{
    static usage_history const none;
    auto const found = usage_.find(item);
    return found == usage_.end() ? none : found->second;
}

} // namespace carawayturn::placement
