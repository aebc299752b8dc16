#include "transport/entry/lease_keeper.hpp"

#include "coordination/entry/claim_delay.hpp"
#include "transport/entry/boot_clock.hpp"

#include <algorithm>

namespace carawayturn::entry
{

namespace
{

constexpr duration call_timeout = std::chrono::milliseconds(700);
constexpr duration step_interval = std::chrono::milliseconds(100);
constexpr duration retry_interval = std::chrono::milliseconds(200);
/// Longest time that a long poll for the next holder stays open at the store.
constexpr duration max_watch_duration = std::chrono::milliseconds(1000);
/// The holder of a row that is adopted after a conflict may have renewed the row just
/// before the conflict, so its lease is counted from the time of the conflict plus this
/// margin: twice the margin by which hub_lease shortens this instance's own term. The
/// lease thus ends one such margin after its term, as in hub_lease::observe().
constexpr duration foreign_lease_margin = std::chrono::milliseconds(600);

} // namespace

lease_keeper::lease_keeper(entry_services& services, store_client& store,
                           hub_lease& lease)
    : services_(services), store_(store), lease_(lease),
      claim_delay_(claim_delay(services.settings))
{
}

task<duration> lease_keeper::step(bool hub_answers)
{
    auto const now = boot_now();
    if (!row_known_)
        co_return co_await read() ? duration::zero() : retry_interval;
    if (services_.draining())
        co_return step_interval;
    bool const row_outdated = lease_.version().era != store_.era();
    if (row_outdated && lease_.own_row())
        co_return co_await read() ? duration::zero() : retry_interval;
    if (lease_.renewal_due(now))
        co_return co_await write(lease_.next_row(now)) ? step_interval : retry_interval;
    // An instance that started less than `order_lease` (the term of the lease) ago does
    // not claim the lease, so that after a restart it does not take the lease back from
    // the instance that claimed it in the meantime. This does not apply if there is no
    // row or the row names this instance's previous process.
    bool const may_compete =
        row_absent_ || lease_.inherited_row() ||
        now - services_.started_at >= services_.settings.bounds.order_lease;
    bool const claimable = may_compete && lease_.may_claim(now) && store_.answering();
    // The store has come back from a copy since the row was read.
    if (claimable && row_outdated)
        co_return co_await read() ? duration::zero() : retry_interval;
    if (!claimable)
        claimable_since_ = time_point{};
    else if (claimable_since_ == time_point{})
        claimable_since_ = now;
    // If the row names this process or its predecessor, the claim needs no claim delay.
    if (claimable && (lease_.own_row() || lease_.inherited_row() ||
                      now - claimable_since_ >= claim_delay_))
        co_return co_await write(lease_.next_row(now)) ? step_interval : retry_interval;
    search_.set_hub_answers(hub_answers || lease_.own_row());
    auto const until_claim =
        claimable ? claimable_since_ + claim_delay_ - now : max_watch_duration;
    if (until_claim < step_interval ||
        !search_.due(now, lease_.end(), services_.hub.instances()))
        co_return step_interval;
    bool const answered = co_await watch(std::min(until_claim, max_watch_duration));
    co_return answered ? duration::zero() : step_interval;
}

void lease_keeper::observe_rows(store_reply const& reply)
{
    for (auto const& row : reply.answer.rows)
    {
        if (row.key != platform::lease_key || row.removed || row.version == 0)
            continue;
        row_absent_ = false;
        store_version const version{reply.era, row.version};
        auto const decoded = platform::decode_lease(row.value);
        if (!succeeded(decoded))
        {
            services_.log.write(entry_event::lease_row_unreadable,
                                {{"row_version", row.version},
                                 {"detail", std::get<error>(decoded).detail}});
            if (lease_.observe_unreadable(version, boot_now()))
                services_.hub.send_status_soon();
            continue;
        }
        auto const& lease = std::get<lease_row>(decoded);
        if (lease_.observe(lease, version, boot_now(), duration::max()))
            services_.hub.send_status_soon();
    }
}

void lease_keeper::adopt_lower_version(lease_row const& written_row,
                                       platform::store_answer const& conflict)
{
    auto const now = boot_now();
    auto const fence = lease_.fence();
    if (conflict.rows.empty())
    {
        // The store has lost the row, and another instance may have claimed or renewed
        // the lease with a row that is lost too. The recorded row names no holder, and
        // its time keeps this instance from claiming the lease for one term.
        if (lease_.version().number != 0)
            lease_.record_write({"", written_row.holder_name,
                                 written_row.holder_incarnation, fence, written_row.era},
                                {written_row.era, 0},
                                now + services_.settings.bounds.order_lease);
        return;
    }
    for (auto const& row : conflict.rows)
    {
        store_version const version{written_row.era, row.version};
        if (row.key != platform::lease_key || row.removed || version >= lease_.version())
            continue;
        auto const decoded = platform::decode_lease(row.value);
        if (!succeeded(decoded))
        {
            // The row may hide the claim of another instance, so its time keeps this one
            // from claiming the lease for one term.
            lease_.record_write(substitute_for_unreadable(version, fence), version,
                                now + services_.settings.bounds.order_lease);
            continue;
        }
        auto present = std::get<lease_row>(decoded);
        // A fence must not be used twice.
        present.fence = std::max(present.fence, fence);
        bool const is_own = present.holder_address == written_row.holder_address &&
                            present.holder_incarnation == written_row.holder_incarnation;
        // A lease held by this instance counts as expired until its next renewal.
        lease_.record_write(present, version,
                            is_own ? time_point{} : now + foreign_lease_margin);
    }
}

task<bool> lease_keeper::read()
{
    search_.searched(boot_now());
    auto const known = lease_.version();
    auto const reply = co_await store_.call(
        platform::encode_row_read(platform::store_table::lease, platform::lease_key),
        call_timeout);
    if (!reply || !reply->done())
        co_return false;
    // The row was told by another instance, and the store knows no such era.
    if (reply->era < known.era && known == lease_.version())
        lease_.forget_row();
    row_absent_ = true;
    observe_rows(*reply);
    if (row_absent_)
        lease_.observe_absent(reply->era, boot_now());
    row_known_ = true;
    seen_version_ = reply->version();
    co_return true;
}

task<bool> lease_keeper::watch(duration timeout)
{
    search_.searched(boot_now());
    auto const after = std::max(seen_version_, lease_.version());
    if (after.era != store_.era())
        co_return co_await read();
    auto const reply = co_await store_.call(
        platform::encode_table_watch(platform::store_table::lease, after.number, timeout),
        timeout + call_timeout);
    if (reply && (reply->changes_unavailable() || reply->era != after.era))
        co_return co_await read();
    if (!reply || !reply->done())
        co_return false;
    observe_rows(*reply);
    seen_version_ = std::max(after, reply->version());
    co_return true;
}

task<bool> lease_keeper::write(lease_row row)
{
    auto const sent_at = boot_now();
    bool const held_before = lease_.held(sent_at);
    auto const former = lease_.row();
    auto const expected = lease_.version();
    auto const reply = co_await store_.call(
        platform::encode_lease_write(row, expected.number), call_timeout);
    if (!reply)
        co_return false;
    // The store has come back from a copy since the row was read, and may have had
    // another row with that version.
    if (reply->era != expected.era)
        co_return co_await read();
    if (reply->conflict())
    {
        adopt_lower_version(row, reply->answer);
        observe_rows(*reply);
        co_return true;
    }
    if (!reply->done())
        co_return false;
    // A lost row does not mean that there was no former holder; its fence is known then.
    first_holder_ = row_absent_ && former.fence == 0;
    row_absent_ = false;
    lease_.record_write(row, reply->version(), sent_at);
    if (!held_before)
        services_.log.write(entry_event::lease_claimed,
                            {{"fence", row.fence},
                             {"former_holder", former.holder_name},
                             {"row_version", reply->answer.version},
                             {"store_era", reply->era}});
    co_return true;
}

task<void> lease_keeper::release()
{
    if (!lease_.held(boot_now()))
        co_return;
    bool const answered = co_await write(lease_.released_row());
    // The store has come back from a copy, and the row was read again.
    if (answered && lease_.held(boot_now()))
        co_await write(lease_.released_row());
    // The event follows the last known row. Without an answer of the store it is
    // lease_not_released, although the store may have released the row; if it has not,
    // the lease expires by itself. After a conflict the row is the one adopted from the
    // store, so the event is lease_released if that row names no holder.
    bool const released = lease_.row().holder_address.empty();
    services_.log.write(released ? entry_event::lease_released
                                 : entry_event::lease_not_released,
                        {{"fence", lease_.fence()}});
}

} // namespace carawayturn::entry
