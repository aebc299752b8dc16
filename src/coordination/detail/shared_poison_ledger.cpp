#include "coordination/detail/shared_poison_ledger.hpp"

#include "coordination/detail/ledger_rows.hpp"

#include <boost/json.hpp>

namespace carawayturn::detail
{

namespace
{

constexpr std::uint16_t log_suspected = 602;
constexpr std::uint16_t log_confirmed = 603;
constexpr std::uint16_t log_cleared = 606;
constexpr std::uint16_t log_full = 607;

constexpr duration suspect_period = std::chrono::minutes(10);
constexpr duration read_period = std::chrono::seconds(5);
/// A read or write without an answer for this long is started again.
constexpr duration answer_limit = std::chrono::seconds(10);
constexpr duration write_retry = std::chrono::seconds(5);
/// Signatures learned from peers are written by their first instance; the others step in
/// after a random time of up to this, in case it has died.
constexpr duration foreign_write_delay = std::chrono::seconds(30);
constexpr std::size_t max_suspects = 20000;
constexpr std::size_t max_poisonous = 20000;
constexpr std::size_t max_writes = 16;
/// Members that are told of a suspect; all are told of a poisonous signature.
constexpr std::size_t suspect_fanout = 8;
constexpr std::uint32_t rows_per_read = 1000;
constexpr std::uint32_t crashes_to_confirm = 2;

} // namespace

shared_poison_ledger::shared_poison_ledger(instance_identity identity,
                                           serving_authority const& authority)
    : identity_(std::move(identity)), authority_(authority), random_(identity_.seed)
{
}

void shared_poison_ledger::handle(time_point now, event const& input, actions& out)
{
    if (auto const* const received = std::get_if<peer_received>(&input))
    {
        receive(now, received->message, out);
    }
    else if (auto const* const answer = std::get_if<table_answered>(&input))
    {
        answered(now, *answer, out);
    }
    else if (std::holds_alternative<tick>(input))
    {
        step(now, out);
    }
}

suspicion shared_poison_ledger::classify(digest const& signature) const
{
    if (poisonous_.contains(signature))
    {
        return suspicion::poisonous;
    }
    return suspects_.contains(signature) ? suspicion::suspect : suspicion::none;
}

void shared_poison_ledger::note_crash(time_point now, digest const& signature,
                                      bool ran_alone, actions& out)
{
    suspicion const before = classify(signature);
    if (before == suspicion::suspect && ran_alone)
    {
        confirm(now, signature, false, true, out);
        announce(now, signature, crashes_to_confirm, max_instance_slots, out);
    }
    else if (before != suspicion::poisonous)
    {
        add_suspect(now, signature);
        out.emplace_back(
            log_record{log_suspected, signature.str(), "in flight at a crash"});
        announce(now, signature, 1, suspect_fanout, out);
    }
}

void shared_poison_ledger::note_success(time_point, digest const& signature, actions& out)
{
    if (suspects_.erase(signature) > 0)
    {
        out.emplace_back(log_record{log_cleared, signature.str(), "completed"});
    }
}

std::vector<digest> shared_poison_ledger::next_for_gossip(std::size_t count)
{
    std::vector<digest> next;
    auto entry = poisonous_.upper_bound(gossiped_);
    for (count = std::min(count, poisonous_.size()); count > 0; --count)
    {
        entry = entry == poisonous_.end() ? poisonous_.begin() : entry;
        next.push_back(entry->first);
        ++entry;
    }
    gossiped_ = next.empty() ? digest() : next.back();
    return next;
}

void shared_poison_ledger::add_suspect(time_point now, digest const& signature)
{
    time_point const expires = now + suspect_period;
    suspects_[signature] = expires;
    expiries_.emplace_back(expires, signature);
    while (expiries_.size() > max_suspects)
    {
        auto const [at, oldest] = expiries_.front();
        expiries_.pop_front();
        auto const found = suspects_.find(oldest);
        if (found != suspects_.end() && found->second == at)
        {
            suspects_.erase(found);
        }
    }
}

void shared_poison_ledger::expire_suspects(time_point now)
{
    while (!expiries_.empty() && expiries_.front().first <= now)
    {
        auto const found = suspects_.find(expiries_.front().second);
        if (found != suspects_.end() && found->second <= now)
        {
            suspects_.erase(found);
        }
        expiries_.pop_front();
    }
}

void shared_poison_ledger::confirm(time_point now, digest const& signature, bool durable,
                                   bool seen_here, actions& out)
{
    suspects_.erase(signature);
    auto const found = poisonous_.find(signature);
    if (found != poisonous_.end())
    {
        if (durable)
        {
            unwritten_.erase(signature);
        }
        return;
    }
    if (poisonous_.size() >= max_poisonous)
    {
        if (!std::exchange(full_logged_, true))
        {
            out.emplace_back(log_record{log_full, signature.str(), "not kept"});
        }
        return;
    }
    std::uniform_int_distribution<duration::rep> delay(0, foreign_write_delay.count());
    poisonous_entry entry;
    entry.next_try = seen_here ? now : now + read_period + duration(delay(random_));
    poisonous_.emplace(signature, entry);
    if (!durable)
    {
        unwritten_.insert(signature);
    }
    out.emplace_back(log_record{log_confirmed, signature.str(),
                                seen_here ? "crashed alone here" : "learned"});
    if (seen_here)
    {
        write_rows(now, out);
    }
}

void shared_poison_ledger::announce(time_point now, digest const& signature,
                                    std::uint32_t crashes, std::size_t count,
                                    actions& out)
{
    auto members = authority_.live_members(now);
    std::erase_if(members, [this](member_entry const& member)
                  { return member.id == identity_.id; });
    std::shuffle(members.begin(), members.end(), random_);
    members.resize(std::min(count, members.size()));
    for (auto const& member : members)
    {
        out.emplace_back(
            send_peer{member.id, member.peer_address, poison_notice{signature, crashes}});
    }
}

void shared_poison_ledger::receive(time_point now, peer_message const& message,
                                   actions& out)
{
    if (auto const* const heard = std::get_if<gossip>(&message))
    {
        for (auto const& signature : heard->poisonous)
        {
            confirm(now, signature, false, false, out);
        }
    }
    else if (auto const* const notice = std::get_if<poison_notice>(&message))
    {
        if (notice->crashes >= crashes_to_confirm)
        {
            confirm(now, notice->signature, false, false, out);
        }
        else if (classify(notice->signature) == suspicion::none)
        {
            add_suspect(now, notice->signature);
        }
    }
}

void shared_poison_ledger::step(time_point now, actions& out)
{
    expire_suspects(now);
    write_rows(now, out);
    bool const lost = !reading_.empty() && read_at_ + answer_limit <= now;
    if (read_at_ == time_point::min() || lost ||
        (reading_.empty() && read_at_ + read_period <= now))
    {
        read_rows(now, {}, out);
    }
}

operation_id shared_poison_ledger::next_operation()
{
    return operation_id("poison-" + identity_.id.str() + "-" +
                        std::to_string(identity_.incarnation) + "-" +
                        std::to_string(++operation_));
}

void shared_poison_ledger::read_rows(time_point now, std::string after, actions& out)
{
    reading_ = next_operation();
    read_at_ = now;
    table_read query;
    query.operation = reading_;
    query.prefix = poison_prefix;
    query.after = std::move(after);
    query.limit = rows_per_read;
    out.emplace_back(store_read{std::move(query)});
}

void shared_poison_ledger::write_rows(time_point now, actions& out)
{
    for (auto const& signature : unwritten_)
    {
        if (writes_.size() >= max_writes)
        {
            return;
        }
        poisonous_entry& entry = poisonous_.at(signature);
        if (entry.next_try > now)
        {
            continue;
        }
        // An operation without an answer by the next try is given up.
        writes_.erase(entry.awaited);
        entry.awaited = next_operation();
        entry.next_try = now + answer_limit;
        writes_.emplace(entry.awaited, signature);
        std::string const key = poison_key(signature);
        out.emplace_back(store_commit{table_commit{
            entry.awaited, {{key, 0}}, {{key, poison_row(crashes_to_confirm)}}}});
    }
}

void shared_poison_ledger::answered(time_point now, table_answered const& answer,
                                    actions& out)
{
    if (!reading_.empty() && answer.operation == reading_)
    {
        reading_ = operation_id();
        if (auto const* const found = std::get_if<rows_read>(&answer.outcome))
        {
            on_rows(now, *found, out);
        }
        return;
    }
    auto const write = writes_.find(answer.operation);
    if (write != writes_.end())
    {
        digest const signature = write->second;
        writes_.erase(write);
        on_write(now, signature, answer.outcome, out);
    }
}

void shared_poison_ledger::on_rows(time_point now, rows_read const& found, actions& out)
{
    for (auto const& row : found.rows)
    {
        if (row.key.starts_with(poison_prefix) && row.value &&
            crashes_of_row(*row.value) >= crashes_to_confirm)
        {
            confirm(now, digest(row.key.substr(poison_prefix.size())), true, false, out);
        }
    }
    if (found.rows.size() >= rows_per_read)
    {
        read_rows(now, found.rows.back().key, out);
    }
}

void shared_poison_ledger::on_write(time_point now, digest const& signature,
                                    table_outcome const& outcome, actions& out)
{
    poisonous_entry& entry = poisonous_.at(signature);
    entry.awaited = operation_id();
    if (std::holds_alternative<committed>(outcome))
    {
        unwritten_.erase(signature);
    }
    else if (auto const* const found = std::get_if<rows_read>(&outcome))
    {
        // The read-back: any such row makes the signature durable, whoever wrote it.
        entry.next_try = now;
        if (!found->rows.empty() && found->rows.front().value)
        {
            unwritten_.erase(signature);
        }
    }
    else if (std::holds_alternative<table_unavailable>(outcome))
    {
        entry.next_try = now + write_retry;
    }
    else
    {
        table_read query;
        query.operation = next_operation();
        query.keys = {poison_key(signature)};
        entry.awaited = query.operation;
        entry.next_try = now + answer_limit;
        writes_.emplace(query.operation, signature);
        out.emplace_back(store_read{std::move(query)});
    }
}

std::string shared_poison_ledger::dump(time_point now) const
{
    return boost::json::serialize(boost::json::object{
        {"suspects", suspects_.size()},
        {"poisonous", poisonous_.size()},
        {"not_durable", unwritten_.size()},
        {"read_age_ms",
         read_at_ == time_point::min()
             ? -1
             : std::chrono::duration_cast<std::chrono::milliseconds>(now - read_at_)
                   .count()},
    });
}

} // namespace carawayturn::detail
