#include "coordination/placement/pool_owner.hpp"
#include "state/stable_hash.hpp"

#include <algorithm>

namespace carawayturn::placement
{

namespace
{

// How often a candidate looks at a pool row that it may not claim yet.
constexpr duration claim_check_interval = std::chrono::seconds(1);
constexpr std::uint32_t rows_per_read = 1000;

table_row find_row(rows_read const& read, std::string const& key)
{
    auto const found = std::find_if(read.rows.begin(), read.rows.end(),
                                    [&](auto const& row) { return row.key == key; });
    return found == read.rows.end() ? table_row{key, 0, {}, {}} : *found;
}

/// Reads the pool row's content; empty if the row is absent or cannot be read.
std::optional<pool_row> content_of(table_row const& row)
{
    if (!row.value)
        return std::nullopt;
    auto parsed = parse_pool_row(*row.value);
    if (!succeeded(parsed))
        return std::nullopt;
    return std::get<pool_row>(parsed);
}

} // namespace

operation_id pool_context::next_operation()
{
    return operation_id(operation_prefix() + std::to_string(++operations));
}

std::string pool_context::operation_prefix() const
{
    return "placement/" + identity.id.str() + "/" + std::to_string(identity.incarnation) +
           "/";
}

instance_id candidate_for(pool_id const& pool, std::vector<member_entry> const& members)
{
    std::uint64_t best = 0;
    instance_id winner;
    for (auto const& member : members)
    {
        // Members without a slot cannot own a pool; leaving ones would hand it over soon.
        if (!member.has_slot || member.state == instance_state::draining ||
            member.state == instance_state::left)
            continue;
        auto const weight = stable_hash(pool.str() + "/" + member.id.str());
        if (winner.empty() || weight > best)
        {
            best = weight;
            winner = member.id;
        }
    }
    return winner;
}

pool_owner::pool_owner(pool_id pool, pool_context& context)
    : id_(std::move(pool)), context_(context), times_(context.limits)
{
}

pool_config const* pool_owner::pool() const
{
    auto const& pools = context_.config.current().pools;
    auto const found = pools.find(id_);
    return found == pools.end() ? nullptr : &found->second;
}

void pool_owner::log(std::uint16_t number, std::string subject, std::string detail,
                     actions& out) const
{
    out.emplace_back(log_record{number, std::move(subject), std::move(detail)});
}

decision_id pool_owner::next_decision()
{
    return decision_id(id_.str() + "/" + std::to_string(owned_->fence) + "/" +
                       std::to_string(++decisions_));
}

bool pool_owner::holds_slot_of(pool_row const& row) const
{
    auto const slot = context_.authority.slot();
    return slot && row.owner == context_.identity.id &&
           row.incarnation == context_.identity.incarnation && row.slot == slot->slot &&
           row.slot_fence == slot->fence && !row.released;
}

bool pool_owner::usable(time_point now) const
{
    return owned_ && runners_read_ && verified_ && !leaving_ && holds_slot_of(*owned_) &&
           context_.authority.lease_valid(now);
}

// After a lapse, another instance may have proved this one stopped and claimed the pool,
// although the slot row was renewed later. So the pool row is read again before use.
void pool_owner::watch_lease(time_point now, actions& out)
{
    if (!context_.authority.lease_valid(now))
        verified_ = false;
    if (owned_ && !holds_slot_of(*owned_))
        lose("the slot lease was lost", out);
}

void pool_owner::lose(std::string const& reason, actions& out)
{
    log(404, id_.str(), reason, out);
    owned_.reset();
    runners_read_ = false;
    verified_ = false;
    raise_wanted_ = false;
    ledgers_.clear();
    commit_.reset();
    // An answer to the call in progress no longer matters.
    call_.reset();
    queue_.clear();
    published_.clear();
    version_ = 0;
}

bool pool_owner::is_candidate(time_point now) const
{
    return candidate_for(id_, context_.authority.live_members(now)) ==
           context_.identity.id;
}

bool pool_owner::claimable(time_point now, pool_row const& row) const
{
    // An earlier ownership of this same process has ended here; nothing acts on it.
    bool const own = row.owner == context_.identity.id &&
                     row.incarnation == context_.identity.incarnation;
    return row.released || own ||
           context_.authority.proven_stopped(now, row.slot, row.slot_fence);
}

void pool_owner::read_pool(time_point now, actions& out)
{
    next_claim_check_ = now + claim_check_interval;
    table_read read;
    read.operation = start_call(call_kind::read_pool).operation;
    read.keys = {pool_key(id_)};
    out.emplace_back(store_read{std::move(read)});
}

void pool_owner::take_pool_row(time_point now, table_outcome const& outcome, actions& out)
{
    auto const* const read = std::get_if<rows_read>(&outcome);
    if (read == nullptr)
        return delay_calls(now);
    call_delay_ = duration::zero();
    auto const row = find_row(*read, pool_key(id_));
    if (owned_)
        return verify(row, out);
    auto const content = content_of(row);
    if (content && claim_ && row.operation == claim_operation_ && holds_slot_of(*content))
        return begin_reading_runners(now, row.version, out);
    // A row that cannot be read gives no proof that its owner has stopped.
    bool const allowed = row.value ? content && claimable(now, *content) : true;
    if (allowed && !leaving_ && context_.authority.lease_valid(now) && is_candidate(now))
        claim(now, row.version, content, out);
}

void pool_owner::verify(table_row const& row, actions& out)
{
    auto const content = content_of(row);
    if (!content || !holds_slot_of(*content) || content->fence < owned_->fence)
        return lose("the pool row names another owner", out);
    // A raised fencing number of this owner is the only change that keeps the rest.
    owned_ = content;
    pool_version_ = row.version;
    verified_ = true;
    changed_ = true;
}

void pool_owner::claim(time_point now, row_version version,
                       std::optional<pool_row> const& former, actions& out)
{
    auto const slot = context_.authority.slot();
    if (!slot || !context_.authority.lease_valid(now))
        return;
    had_former_owner_ = former.has_value();
    claim_ = pool_row{context_.identity.id, context_.identity.incarnation,    slot->slot,
                      slot->fence,          (former ? former->fence : 0) + 1, false};
    claim_operation_ = start_call(call_kind::claim).operation;
    table_commit commit{
        claim_operation_, {{pool_key(id_), version}}, {{pool_key(id_), print(*claim_)}}};
    out.emplace_back(store_commit{std::move(commit)});
}

void pool_owner::take_claim_outcome(time_point now, table_outcome const& outcome,
                                    actions& out)
{
    auto const* const done = std::get_if<committed>(&outcome);
    if (done != nullptr && !done->versions.empty() && holds_slot_of(*claim_))
        return begin_reading_runners(now, done->versions.front().version, out);
    // Lost, refused or unavailable: the row is read again before anything else.
    delay_calls(now);
    next_claim_check_ = next_call_;
}

void pool_owner::begin_reading_runners(time_point now, row_version version, actions& out)
{
    owned_ = claim_;
    pool_version_ = version;
    verified_ = context_.authority.lease_valid(now);
    runners_read_ = false;
    ledgers_.clear();
    if (leaving_)
        return release(now, out);
    read_runners({}, out);
}

void pool_owner::read_runners(std::string after, actions& out)
{
    table_read read;
    read.operation = start_call(call_kind::read_runners).operation;
    read.prefix = std::string(runner_prefix);
    read.after = std::move(after);
    read.limit = rows_per_read;
    out.emplace_back(store_read{std::move(read)});
}

void pool_owner::take_runner_rows(time_point now, table_outcome const& outcome,
                                  actions& out)
{
    auto const* const read = std::get_if<rows_read>(&outcome);
    if (read == nullptr)
    {
        // advance() starts over with the first page.
        ledgers_.clear();
        return delay_calls(now);
    }
    call_delay_ = duration::zero();
    for (auto const& row : read->rows)
        take_runner_row(row, out);
    if (read->rows.size() >= rows_per_read)
        return read_runners(read->rows.back().key, out);
    start_owning(now, out);
}

void pool_owner::take_runner_row(table_row const& row, actions& out)
{
    if (!row.value || !row.key.starts_with(runner_prefix))
        return;
    backend_id const runner(row.key.substr(runner_prefix.size()));
    auto parsed = parse_runner_row(*row.value);
    auto const* const content = std::get_if<runner_row>(&parsed);
    auto const* const info = context_.runners.find(runner);
    bool const listed_here = info != nullptr && info->pool == id_;
    bool const ours = content != nullptr && content->pool == id_;
    if (!ours && !listed_here)
        return;
    auto& ledger = ledgers_.try_emplace(runner, runner, id_, owned_->fence).first->second;
    if (ours)
        return ledger.inherit(row.version, *content);
    ledger.set_unreadable();
    log(410, runner.str(), "the row is invalid or belongs to another pool", out);
}

void pool_owner::start_owning(time_point now, actions& out)
{
    runners_read_ = true;
    owned_since_ = now;
    changed_ = true;
    decisions_ = 0;
    auto const* const config = pool();
    if (had_former_owner_ && config != nullptr)
        pace_.assume_full(now, config->loads_per_second);
    log(401, id_.str(), "fence " + std::to_string(owned_->fence), out);
    refresh_ledgers(now, out);
    for (auto& [id, ledger] : ledgers_)
    {
        auto const* const info = context_.runners.find(id);
        if (info != nullptr && info->report)
            apply_report(now, ledger, *info->report, out);
    }
}

// A lost copy of a load order is refused by an engine that checks fencing numbers once it
// has seen a higher one. So the owner raises its own number before it unloads.
void pool_owner::raise_fence(time_point /*now*/, actions& out)
{
    raise_wanted_ = false;
    pool_row raised = *owned_;
    ++raised.fence;
    table_commit commit{start_call(call_kind::raise_fence).operation,
                        {{pool_key(id_), pool_version_}},
                        {{pool_key(id_), print(raised)}}};
    out.emplace_back(store_commit{std::move(commit)});
}

void pool_owner::take_raise_outcome(table_outcome const& outcome, actions& out)
{
    auto const* const done = std::get_if<committed>(&outcome);
    if (done == nullptr || done->versions.empty())
    {
        // The pool row is read again before anything else.
        verified_ = false;
        return;
    }
    ++owned_->fence;
    pool_version_ = done->versions.front().version;
    changed_ = true;
    log(413, id_.str(), "fence " + std::to_string(owned_->fence), out);
}

void pool_owner::release(time_point /*now*/, actions& out)
{
    leaving_ = true;
    if (!owned_)
        return;
    pool_row released = *owned_;
    released.released = true;
    table_commit commit{context_.next_operation(),
                        {{pool_key(id_), pool_version_}},
                        {{pool_key(id_), print(released)}}};
    out.emplace_back(store_commit{std::move(commit)});
    log(405, id_.str(), "fence " + std::to_string(owned_->fence), out);
}

} // namespace carawayturn::placement
