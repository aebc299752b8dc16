#pragma once

#include "state/entry/node_message.hpp"
#include "state/time.hpp"

namespace carawayturn::entry
{

/// Tracks which revision of the hub's directory this instance has, so that the hub sends
/// it only the changes that it lacks. A change that the instance read from the store
/// itself makes its directory differ from the hub's. From then on only a full
/// synchronization (node_update::is_resync) that answers a later status is accepted.
///
/// This handles the load pattern "a slow instance reads itself for a moment", where the
/// instance's late list of servers would restore a server that an update of the hub had
/// removed before.
class directory_sync
{
public:
    /// Records that this instance changed its directory by reading the store itself.
    void mark_local_change(time_point now)
    {
        hub_ = 0;
        revision_ = 0;
        local_change_at_ = now;
    }

    /// Returns whether the directory in the update may be applied, and if so records its
    /// hub and revision as those of this instance.
    [[nodiscard]] bool accept(node_update const& update)
    {
        bool const answers_later_status =
            time_point(duration(update.echo_us)) >= local_change_at_;
        // An earlier update may have been skipped because the hub could not read the
        // store.
        bool const follows =
            update.directory_hub == hub_ && update.directory_changes_after <= revision_;
        bool const usable = update.is_resync ? answers_later_status : follows;
        if (!usable)
            return false;
        hub_ = update.directory_hub;
        revision_ = update.directory_revision;
        return true;
    }

    /// Incarnation of the hub whose directory this instance has, 0 if none, and the
    /// revision of that directory.
    [[nodiscard]] std::uint64_t hub() const { return hub_; }
    [[nodiscard]] std::uint64_t revision() const { return revision_; }

private:
    std::uint64_t hub_ = 0;
    std::uint64_t revision_ = 0;
    time_point local_change_at_{};
};

} // namespace carawayturn::entry
