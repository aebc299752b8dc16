#pragma once

#include "coordination/detail/member_table.hpp"
#include "coordination/detail/table_rows.hpp"
#include "state/table.hpp"

#include <deque>
#include <map>
#include <optional>

namespace carawayturn::detail
{

/// A write of a slot row whose effect is not known to be superseded.
struct slot_attempt
{
    operation_id operation;
    slot_number slot = 0;
    slot_row row;
    time_point sent{};
};

/// This instance's lease of a slot.
class slot_lease
{
public:
    explicit slot_lease(authority_periods periods) : periods_(periods) {}

    /// Remembers a write that was sent, so that its answer, or a row read later, can be
    /// matched with the time of sending.
    void note_attempt(slot_attempt attempt);
    [[nodiscard]] slot_attempt const* find_attempt(operation_id const& operation) const;

    /// Takes a row that this process wrote. The lease counts from when the write was
    /// sent; without that time only the version is taken.
    void hold(time_point now, slot_number slot, slot_row const& row, row_version version,
              std::optional<time_point> sent);
    void drop();

    [[nodiscard]] std::optional<held_slot> const& held() const { return held_; }
    [[nodiscard]] slot_row const& row() const { return row_; }
    [[nodiscard]] bool valid(time_point now) const { return left(now) > duration{0}; }
    [[nodiscard]] duration left(time_point now) const;

    /// When the last renewal that is known to have taken effect was sent.
    [[nodiscard]] std::optional<time_point> renewed() const { return renewed_; }

    /// When the present unbroken validity began.
    [[nodiscard]] time_point valid_since() const { return valid_since_; }

private:
    authority_periods periods_;
    std::optional<held_slot> held_;
    slot_row row_;
    std::optional<time_point> renewed_;
    time_point valid_since_{};
    std::deque<slot_attempt> attempts_;
};

/// One slot row as last read or written.
struct slot_watch
{
    row_version version = 0;
    operation_id operation;
    /// Absent when there is no row or it is unreadable.
    std::optional<slot_row> row;
    /// When this row version was first seen.
    time_point first_seen{};
    /// When the last question was sent whose answer showed this row version.
    time_point asked{};
    /// Answers to questions sent before this time may be older than what is known.
    time_point updated{};
    /// The value could not be read; the slot is neither free nor held by a known
    /// instance.
    bool unreadable = false;

    [[nodiscard]] bool free() const
    {
        return !unreadable && (!row || row->holder.empty());
    }
};

/// All slot rows seen.
class slot_watches
{
public:
    /// Takes a row from an answer to a question sent at `asked`. Returns whether it is
    /// news or still current, and false for an outdated answer.
    bool observe(time_point now, time_point asked, slot_number slot,
                 table_row const& seen);

    [[nodiscard]] slot_watch const* find(slot_number slot) const;
    [[nodiscard]] std::map<slot_number, slot_watch> const& all() const
    {
        return watches_;
    }
    /// One above the highest slot that is not known to be free.
    [[nodiscard]] slot_number end_slot() const;

private:
    std::map<slot_number, slot_watch> watches_;
};

} // namespace carawayturn::detail
