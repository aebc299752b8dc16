#include "coordination/detail/authority_state.hpp"

#include <algorithm>

namespace carawayturn::detail
{

void authority_state::on_tick(time_point now, actions& out)
{
    expire_pending(now);
    if (now >= next_gossip_)
    {
        // In an outage rule (b) waits until a majority was heard directly, so gossip
        // hurries.
        next_gossip_ =
            now + (has_store_contact(now) ? gossip_every : gossip_in_outage_every);
        gossip_round(now, out);
    }
    if (state_ == instance_state::left)
        return;
    if (!read_ && now >= next_read_)
        read_rows(now, out);
    if (!write_ && now >= next_write_)
        write_slot(now, out);
}

/// An operation whose answer never came must not stop the ones after it.
void authority_state::expire_pending(time_point now)
{
    if (write_ && now - write_->sent >= periods_.time_to_live)
        write_.reset();
    if (read_ && now - read_->operation.sent >= periods_.time_to_live)
        read_.reset();
}

void authority_state::on_table_answer(time_point now, table_answered const& answer,
                                      actions& out)
{
    bool const contact = std::holds_alternative<committed>(answer.outcome) ||
                         std::holds_alternative<commit_conflict>(answer.outcome) ||
                         std::holds_alternative<rows_read>(answer.outcome);
    if (contact)
        contact_.note(now);
    if (read_ && read_->operation.operation == answer.operation)
    {
        if (auto const* const rows = std::get_if<rows_read>(&answer.outcome))
            on_read_answer(now, *rows, out);
        read_.reset();
        return;
    }
    on_write_answer(now, answer, out);
}

void authority_state::on_write_answer(time_point now, table_answered const& answer,
                                      actions& out)
{
    auto const* const found = lease_.find_attempt(answer.operation);
    if (found == nullptr)
        return;
    slot_attempt const attempt = *found;
    if (write_ && write_->operation == answer.operation)
        write_.reset();
    auto const* const done = std::get_if<committed>(&answer.outcome);
    if (done == nullptr)
    {
        // The row shows what happened: a write that took effect carries its operation id.
        // Repeating it on the same row version is safe in any case.
        next_read_ = std::min(next_read_, now + gossip_every);
        next_write_ = std::max(now, attempt.sent + timing_.renew_every / 2);
        return;
    }
    auto const key = slot_key(attempt.slot);
    for (auto const& written : done->versions)
    {
        if (written.key == key)
            on_slot_row(
                now, attempt.sent, attempt.slot,
                {key, written.version, attempt.operation, print_slot_row(attempt.row)},
                out);
    }
}

void authority_state::on_read_answer(time_point now, rows_read const& answer,
                                     actions& out)
{
    pending_read const question = std::move(*read_);
    read_.reset();
    auto const asked = question.operation.sent;
    std::map<std::string, table_row const*> rows;
    for (auto const& row : answer.rows)
        rows[row.key] = &row;
    auto const head = rows.find(std::string(config_head_key));
    on_head_row(asked, head == rows.end() ? nullptr : head->second, out);
    for (auto const slot : question.slots)
    {
        auto const key = slot_key(slot);
        auto const found = rows.find(key);
        on_slot_row(now, asked, slot,
                    found == rows.end() ? table_row{key, 0, {}, std::nullopt}
                                        : *found->second,
                    out);
    }
}

void authority_state::on_head_row(time_point asked, table_row const* row, actions& out)
{
    config_version version = 0;
    if (row != nullptr && row->value)
    {
        auto const parsed = parse_config_head(*row->value);
        if (!parsed)
        {
            out.emplace_back(log_record{203, row->key, "not a configuration head"});
            return;
        }
        version = *parsed;
    }
    head_ = head_answer{asked, version};
    refresh_confirmed();
}

void authority_state::on_slot_row(time_point now, time_point asked, slot_number slot,
                                  table_row const& row, actions& out)
{
    auto const* const before = watches_.find(slot);
    bool const was_unreadable = before != nullptr && before->unreadable;
    if (!watches_.observe(now, asked, slot, row))
        return;
    auto const& watch = *watches_.find(slot);
    if (watch.unreadable && !was_unreadable)
        out.emplace_back(log_record{105, row.key, "not a slot row"});
    if (watch.row && watch.row->holder == identity_.id &&
        watch.row->incarnation == identity_.incarnation)
        on_own_row(now, slot, watch, out);
    else if (auto const& held = lease_.held(); held && held->slot == slot)
        lose_slot("the row shows another holder", out);
}

void authority_state::on_own_row(time_point now, slot_number slot,
                                 slot_watch const& watch, actions& out)
{
    auto const* const attempt = lease_.find_attempt(watch.operation);
    auto const& held = lease_.held();
    bool const other_held = held && held->slot != slot;
    // A claim that took effect after this instance gave up on it, or left.
    if (other_held || state_ == instance_state::left)
    {
        if (!write_)
            release(now, slot, *watch.row, watch.version, out);
        return;
    }
    hold(now, slot, *watch.row, watch.version,
         attempt == nullptr ? std::nullopt : std::optional(attempt->sent), out);
}

void authority_state::hold(time_point now, slot_number slot, slot_row const& row,
                           row_version version, std::optional<time_point> sent,
                           actions& out)
{
    bool const is_new = !lease_.held();
    lease_.hold(now, slot, row, version, sent);
    if (!is_new)
        return;
    next_write_ = sent ? *sent + timing_.renew_every : now;
    // Serving needs a confirmation that was asked for after the claim.
    next_read_ = now;
    out.emplace_back(
        log_record{101, slot_key(slot), "fence " + std::to_string(row.fence)});
}

void authority_state::lose_slot(std::string const& reason, actions& out)
{
    out.emplace_back(log_record{102, slot_key(lease_.held()->slot), reason});
    lease_.drop();
}

void authority_state::read_rows(time_point now, actions& out)
{
    next_read_ = now + slot_read_every;
    read_ = pending_read{{next_operation(), now}, slots_to_read(now)};
    table_read read;
    read.operation = read_->operation.operation;
    read.keys.emplace_back(config_head_key);
    for (auto const slot : read_->slots)
        read.keys.push_back(slot_key(slot));
    out.emplace_back(store_read{std::move(read)});
}

/// Reads all rows of a small fleet. In a large one the rows of silent holders come first
/// and the others in turn, so that the size of an answer stays bounded.
std::vector<slot_number> authority_state::slots_to_read(time_point now)
{
    bool const all = !lease_.held() || now < read_all_until_;
    std::size_t const limit = all ? slots_read_at_once : slots_read;
    std::vector<slot_number> chosen;
    std::vector<slot_number> rest;
    // Slots above the number in force may still be held by instances that do not know it.
    slot_number const end = std::max(slots(), watches_.end_slot());
    for (slot_number step = 0; step < end; ++step)
    {
        slot_number const slot = (read_cursor_ + step) % end;
        bool const first = (lease_.held() && lease_.held()->slot == slot) ||
                           (chosen.size() < limit / 2 && suspect(now, slot));
        (first ? chosen : rest).push_back(slot);
    }
    for (auto const slot : rest)
    {
        if (chosen.size() >= limit)
            break;
        chosen.push_back(slot);
        read_cursor_ = (slot + 1) % end;
    }
    return chosen;
}

bool authority_state::suspect(time_point now, slot_number slot) const
{
    auto const* const watch = watches_.find(slot);
    if (watch == nullptr || !watch->row || watch->row->holder.empty())
        return false;
    auto const* const known = members_.find(watch->row->holder);
    return known == nullptr || now - known->heard_at > timing_.renew_every;
}

void authority_state::write_slot(time_point now, actions& out)
{
    if (members_.superseded())
        return;
    auto const held = lease_.held();
    if (held && held->slot >= slots())
    {
        auto row = lease_.row();
        lease_.drop();
        release(now, held->slot, std::move(row), held->row.version, out);
    }
    else if (held)
        renew(now, out);
    else
        claim(now, out);
}

void authority_state::renew(time_point now, actions& out)
{
    auto const& held = *lease_.held();
    next_write_ = now + timing_.renew_every;
    send_write(now, held.slot, own_row(held.fence, lease_.row().counter + 1),
               held.row.version, out);
}

void authority_state::claim(time_point now, actions& out)
{
    auto const slot = choose_slot(now);
    if (!slot)
        return;
    auto const& watch = *watches_.find(*slot);
    fencing_number const fence = watch.row ? watch.row->fence + 1 : 1;
    next_write_ = now + timing_.renew_every;
    send_write(now, *slot, own_row(fence, 1), watch.version, out);
}

/// A free slot, else one whose holder is proven stopped. The random choice keeps
/// instances that start together from claiming the same slot. Low slots are preferred,
/// because the first configuration may have fewer slots than the default, and the holders
/// of slots beyond its number lose them.
std::optional<slot_number> authority_state::choose_slot(time_point now)
{
    std::vector<slot_number> free;
    std::vector<slot_number> stopped;
    for (slot_number slot = 0; slot < slots(); ++slot)
    {
        auto const* const watch = watches_.find(slot);
        if (watch == nullptr)
            continue;
        if (watch->free())
            free.push_back(slot);
        else if (holder_stopped(now, *watch))
            stopped.push_back(slot);
    }
    auto const& candidates = free.empty() ? stopped : free;
    if (candidates.empty())
        return std::nullopt;
    std::size_t const instances = members_.all().size() + 1;
    std::uniform_int_distribution<std::size_t> index(
        0, std::min(candidates.size(), instances) - 1);
    return candidates[index(random_)];
}

void authority_state::release(time_point now, slot_number slot, slot_row row,
                              row_version version, actions& out)
{
    row.holder = instance_id();
    send_write(now, slot, row, version, out);
    out.emplace_back(log_record{103, slot_key(slot), ""});
}

void authority_state::send_write(time_point now, slot_number slot, slot_row const& row,
                                 row_version version, actions& out)
{
    auto const key = slot_key(slot);
    table_commit commit;
    commit.operation = next_operation();
    commit.checks.push_back({key, version});
    commit.writes.push_back({key, print_slot_row(row)});
    lease_.note_attempt({commit.operation, slot, row, now});
    write_ = pending_operation{commit.operation, now};
    out.emplace_back(store_commit{std::move(commit)});
}

slot_row authority_state::own_row(fencing_number fence, std::uint64_t counter) const
{
    return {identity_.id, identity_.incarnation,  fence,
            counter,      identity_.peer_address, identity_.failure_domain};
}

operation_id authority_state::next_operation()
{
    ++operations_;
    return operation_id("slot/" + identity_.id.str() + "/" +
                        std::to_string(identity_.incarnation) + "/" +
                        std::to_string(operations_));
}

void authority_state::set_state(time_point now, instance_state state, actions& out)
{
    if (state_ == instance_state::left || state_ == state)
        return;
    state_ = state;
    if (state != instance_state::left)
        return;
    if (auto const held = lease_.held())
    {
        auto row = lease_.row();
        lease_.drop();
        // The answer to a renewal on its way shows the version to release; see
        // on_own_row().
        if (!write_)
            release(now, held->slot, std::move(row), held->row.version, out);
    }
    gossip_round(now, out);
}

} // namespace carawayturn::detail
