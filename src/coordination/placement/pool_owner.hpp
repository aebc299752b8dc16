#pragma once

#include "coordination/component.hpp"
#include "coordination/config_log.hpp"
#include "coordination/placement/demand_book.hpp"
#include "coordination/placement/load_pace.hpp"
#include "coordination/placement/runner_directory.hpp"
#include "coordination/placement/runner_ledger.hpp"
#include "coordination/placement/strategy.hpp"
#include "coordination/placement_manager.hpp"
#include "coordination/serving_authority.hpp"
#include "state/peer_message.hpp"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace carawayturn::placement
{

/// What all pools of one instance share.
struct pool_context
{
    instance_identity const& identity;
    config_log const& config;
    serving_authority const& authority;
    placement_manager::policy const& limits;
    runner_directory const& runners;

    /// Returns a new operation id. All begin with operation_prefix().
    [[nodiscard]] operation_id next_operation();
    [[nodiscard]] std::string operation_prefix() const;
    std::uint64_t operations = 0;
};

/// The rendezvous-hash winner of the pool among the members that may own it; empty if
/// there is none.
[[nodiscard]] instance_id candidate_for(pool_id const& pool,
                                        std::vector<member_entry> const& members);

/// Claims one pool and, as its owner, decides loads and unloads, sends their orders and
/// gathers what has to be published.
///
/// At most one call to the table service is in progress at a time, so that all decisions
/// made meanwhile share the next commit.
class pool_owner
{
public:
    pool_owner(pool_id pool, pool_context& context);

    // Events.

    void take_demand(time_point now, instance_id const& from, demand_report const& report,
                     actions& out);
    void take_report(time_point now, backend_report const& report, actions& out);
    void take_order_answer(time_point now, order_answered const& answer, actions& out);
    /// Returns whether the answer belongs to this pool.
    bool take_table_answer(time_point now, table_answered const& answer, actions& out);
    /// The list or the reachability of runners changed.
    void note_runners_changed() { changed_ = true; }
    /// Another instance published with a higher fencing number.
    void doubt_ownership() { verified_ = false; }
    /// Does what is due: claims, decisions, orders.
    void advance(time_point now, actions& out);
    /// Gives the pool up before the instance leaves; it is not claimed again.
    void release(time_point now, actions& out);

    // Queries.

    /// Whether the pool is owned, and the slot lease under which it is owned is valid.
    [[nodiscard]] bool usable(time_point now) const;
    [[nodiscard]] bool may_send(time_point now, engine_order const& order) const;
    [[nodiscard]] bool has_runner(backend_id const& runner) const;
    /// The update that is due to be published, if any.
    [[nodiscard]] std::optional<placement_update> take_publication(time_point now);
    [[nodiscard]] std::string dump(time_point now) const;
    [[nodiscard]] pool_id const& id() const { return id_; }

private:
    enum class call_kind
    {
        read_pool,
        claim,
        read_runners,
        commit_rows,
        read_back,
        raise_fence
    };
    struct table_call
    {
        operation_id operation;
        call_kind kind = call_kind::read_pool;
    };
    /// Rows of the commit in progress, or of the one whose outcome is being read back.
    struct row_commit
    {
        operation_id operation;
        std::map<backend_id, std::optional<runner_row>> rows;
        /// The commit may still take effect after it was read back as absent.
        bool may_arrive_late = false;
    };
    struct replica_count
    {
        std::uint32_t loading = 0;
        std::uint32_t loaded = 0;
        [[nodiscard]] std::uint32_t total() const { return loading + loaded; }
    };
    using replica_counts = std::map<item_key, replica_count>;
    /// Memory of runners that evictions in progress free for needs earlier in the order.
    using claimed_memory = std::map<backend_id, byte_count>;

    // Ownership (pool_ownership.cpp).
    void watch_lease(time_point now, actions& out);
    void lose(std::string const& reason, actions& out);
    [[nodiscard]] bool holds_slot_of(pool_row const& row) const;
    [[nodiscard]] bool is_candidate(time_point now) const;
    [[nodiscard]] bool claimable(time_point now, pool_row const& row) const;
    void read_pool(time_point now, actions& out);
    void take_pool_row(time_point now, table_outcome const& outcome, actions& out);
    void verify(table_row const& row, actions& out);
    void claim(time_point now, row_version version, std::optional<pool_row> const& former,
               actions& out);
    void take_claim_outcome(time_point now, table_outcome const& outcome, actions& out);
    void begin_reading_runners(time_point now, row_version version, actions& out);
    void read_runners(std::string after, actions& out);
    void take_runner_rows(time_point now, table_outcome const& outcome, actions& out);
    void take_runner_row(table_row const& row, actions& out);
    void start_owning(time_point now, actions& out);
    void raise_fence(time_point now, actions& out);
    void take_raise_outcome(table_outcome const& outcome, actions& out);

    // Commits (pool_commits.cpp).
    void commit_dirty(time_point now, actions& out);
    void take_commit_outcome(time_point now, table_outcome const& outcome, actions& out);
    void read_back(actions& out);
    void take_read_back(time_point now, table_outcome const& outcome, actions& out);
    /// Returns whether the commit has written the row.
    bool settle_row(runner_ledger& ledger, table_row const& row, actions& out);
    void delay_calls(time_point now);
    void erase_removed_ledgers();
    [[nodiscard]] table_call& start_call(call_kind kind);

    // Orders (pool_orders.cpp).
    void send_orders(time_point now, actions& out);
    void send_item_order(time_point now, runner_ledger& ledger, held_item& item,
                         actions& out);
    void send_fence_order(time_point now, runner_ledger& ledger, actions& out);
    void take_fence_answer(time_point now, runner_ledger& ledger,
                           order_answered const& answer, actions& out);
    void take_load_answer(time_point now, runner_ledger& ledger, held_item& item,
                          order_answered const& answer, actions& out);
    void take_unload_answer(time_point now, runner_ledger& ledger, held_item& item,
                            order_answered const& answer, actions& out);
    /// Returns the item again if it is still held after a new incarnation was noted.
    held_item* note_answer_incarnation(time_point now, runner_ledger& ledger,
                                       order_answered const& answer, actions& out);
    void mark_loaded(time_point now, runner_ledger& ledger, held_item& item);
    void repeat_later(time_point now, held_item& item, order_result outcome,
                      backend_id const& runner, actions& out);
    [[nodiscard]] engine_order order_for(runner_ledger const& ledger,
                                         held_item const& item) const;

    // Reports and memory (pool_reports.cpp).
    void refresh_ledgers(time_point now, actions& out);
    void apply_report(time_point now, runner_ledger& ledger, backend_report const& report,
                      actions& out);
    void compare_item(time_point now, runner_ledger& ledger, held_item& item,
                      backend_report const& report, actions& out);
    void explain_refusal(time_point now, runner_ledger& ledger, held_item& item,
                         backend_report const& report, actions& out);
    void adopt_unknown(time_point now, runner_ledger& ledger,
                       backend_report const& report, actions& out);
    [[nodiscard]] bool gone(time_point now, backend_id const& runner) const;
    /// Whether replicas on the runner may be published.
    [[nodiscard]] bool servable(runner_ledger const& ledger) const;
    /// The runner's report if new decisions may be made there, else null.
    [[nodiscard]] backend_report const* decidable(runner_ledger const& ledger) const;
    /// Whether an unload cannot be overtaken by an older copy of the load order.
    [[nodiscard]] bool unload_is_safe(held_item const& item,
                                      backend_report const& report) const;

    // Needs and loads (pool_needs.cpp).
    void decide(time_point now, actions& out);
    [[nodiscard]] replica_counts count_replicas() const;
    [[nodiscard]] std::vector<load_need> collect_needs(time_point now) const;
    [[nodiscard]] load_need need_for(time_point now, loaded_item item,
                                     item_demand const& demand) const;
    [[nodiscard]] std::map<model_id, item_demand>
    demand_by_model(replica_counts const& counts) const;
    void place_loads(time_point now, std::vector<load_need> needs, actions& out);
    /// Without `store_allowed`, only runners with the checkpoint cached are considered.
    [[nodiscard]] runner_ledger* choose_runner(time_point now, loaded_item const& item,
                                               claimed_memory const& claimed,
                                               bool store_allowed);
    [[nodiscard]] byte_count free_at(runner_ledger const& ledger,
                                     backend_report const& report);
    [[nodiscard]] bool may_hold(time_point now, runner_ledger const& ledger,
                                loaded_item const& item,
                                backend_report const& report) const;
    held_item const& decide_load(time_point now, runner_ledger& ledger,
                                 loaded_item const& item, actions& out);
    /// Model loads from the weight store (or adapter loads) that may be decided now.
    [[nodiscard]] std::uint32_t loads_available(time_point now, bool adapters) const;
    void prewarm(time_point now, actions& out);
    [[nodiscard]] loaded_item configured_item(item_key const& key) const;
    [[nodiscard]] bool configured(item_key const& key) const;

    // Unloads (pool_unloads.cpp).
    [[nodiscard]] bool idle(time_point now, held_item const& item,
                            backend_report const& report) const;
    [[nodiscard]] time_point last_use(held_item const& item) const;
    [[nodiscard]] bool evictable(time_point now, runner_ledger const& ledger,
                                 held_item const& item, backend_report const& report);
    [[nodiscard]] std::vector<eviction_option>
    eviction_options(time_point now, runner_ledger const& ledger,
                     loaded_item const& wanted, backend_report const& report);
    /// Frees memory for the need by evictions, or reserves memory that earlier ones free.
    /// Returns whether memory will become free.
    bool make_room(time_point now, loaded_item const& wanted, claimed_memory& claimed,
                   actions& out);
    void begin_unload(time_point now, runner_ledger& ledger, decision_id const& load,
                      actions& out);
    void unload_item(time_point now, runner_ledger& ledger, held_item& item,
                     actions& out);
    void unload_idle(time_point now, actions& out);
    [[nodiscard]] bool expired(time_point now, held_item const& item) const;
    /// Whether the model has more replicas than its demand has needed lately.
    [[nodiscard]] bool spare(time_point now, held_item const& item) const;
    [[nodiscard]] replica_count count_of(item_key const& key) const;

    // Publication (pool_publication.cpp).
    [[nodiscard]] std::vector<replica> current_replicas() const;
    /// Whether any runner's memory is known well enough for decisions.
    [[nodiscard]] bool any_decidable() const;
    [[nodiscard]] std::vector<std::pair<loaded_item, duration>>
    estimates(time_point now) const;
    [[nodiscard]] duration expected_load_time(loaded_item const& item) const;
    /// Notes whether replicas or the set of loads differ from what was published.
    void compare_publication();
    /// Items being loaded (true) or queued (false).
    [[nodiscard]] std::vector<std::pair<item_key, bool>> loading_items() const;

    [[nodiscard]] pool_config const* pool() const;
    [[nodiscard]] decision_id next_decision();
    void log(std::uint16_t number, std::string subject, std::string detail,
             actions& out) const;

    pool_id id_;
    pool_context& context_;
    demand_book demand_;

    std::optional<table_call> call_;
    time_point next_call_{};
    duration call_delay_{0};

    /// Set while the pool is owned or its runner rows are being read.
    std::optional<pool_row> owned_;
    row_version pool_version_ = 0;
    bool runners_read_ = false;
    /// The pool row was seen with this owner since the lease was last found lapsed.
    bool verified_ = false;
    bool leaving_ = false;
    std::optional<pool_row> claim_;
    operation_id claim_operation_;
    bool had_former_owner_ = false;
    time_point next_claim_check_{};
    time_point owned_since_{};
    bool raise_wanted_ = false;

    std::map<backend_id, runner_ledger> ledgers_;
    std::optional<row_commit> commit_;

    start_rate pace_;
    load_times times_;
    organisation_turns turns_;
    std::vector<load_need> queue_;
    std::map<item_key, time_point> keep_until_;
    /// When requests last waited for the model.
    std::map<item_key, time_point> last_wait_;
    /// Replicas at the start of the round.
    replica_counts counts_;
    /// Free memory of the runners looked at in the round, less its decisions.
    std::map<backend_id, byte_count> free_;
    std::uint64_t decisions_ = 0;
    bool changed_ = false;
    time_point next_round_{};
    time_point next_idle_check_{};
    time_point next_prewarm_check_{};

    std::vector<replica> published_;
    std::vector<std::pair<item_key, bool>> published_loading_;
    std::uint64_t version_ = 0;
    bool publish_now_ = false;
    time_point next_publication_{};
};

} // namespace carawayturn::placement
