#include "coordination/placement/pool_owner.hpp"

#include <algorithm>

namespace carawayturn::placement
{

namespace
{

// Keeps one transaction well below the size of a request body of 1 MiB.
constexpr std::size_t rows_per_commit = 64;

table_row const* find_row(rows_read const& read, std::string const& key)
{
    auto const found = std::find_if(read.rows.begin(), read.rows.end(),
                                    [&](auto const& row) { return row.key == key; });
    return found == read.rows.end() ? nullptr : &*found;
}

row_version version_of(committed const& done, std::string const& key)
{
    auto const found = std::find_if(done.versions.begin(), done.versions.end(),
                                    [&](auto const& check) { return check.key == key; });
    return found == done.versions.end() ? 0 : found->version;
}

} // namespace

// All changes of the round go in one transaction. It checks the pool row, so that it
// fails after a change of owner.
void pool_owner::commit_dirty(time_point /*now*/, actions& out)
{
    row_commit commit;
    table_commit request;
    request.checks.push_back({pool_key(id_), pool_version_});
    for (auto const& [id, ledger] : ledgers_)
    {
        if (!ledger.dirty() || commit.rows.size() >= rows_per_commit)
            continue;
        auto const wanted = ledger.wanted();
        request.checks.push_back({runner_key(id), ledger.version()});
        request.writes.push_back(
            {runner_key(id), wanted ? std::optional(print(*wanted)) : std::nullopt});
        commit.rows.emplace(id, wanted);
    }
    if (commit.rows.empty())
        return erase_removed_ledgers();
    request.operation = start_call(call_kind::commit_rows).operation;
    commit.operation = request.operation;
    commit_ = std::move(commit);
    out.emplace_back(store_commit{std::move(request)});
}

void pool_owner::take_commit_outcome(time_point now, table_outcome const& outcome,
                                     actions& out)
{
    if (auto const* const done = std::get_if<committed>(&outcome))
    {
        call_delay_ = duration::zero();
        for (auto const& [id, row] : commit_->rows)
        {
            if (auto const found = ledgers_.find(id); found != ledgers_.end())
                found->second.note_durable(version_of(*done, runner_key(id)), row);
        }
        commit_.reset();
        changed_ = true;
        return erase_removed_ledgers();
    }
    if (std::holds_alternative<table_unavailable>(outcome))
    {
        // Not taken effect: the decisions are made anew when the store answers again.
        for (auto& [id, ledger] : ledgers_)
            ledger.drop_undurable();
        commit_.reset();
        return delay_calls(now);
    }
    commit_->may_arrive_late = std::holds_alternative<outcome_unknown>(outcome);
    read_back(out);
}

void pool_owner::read_back(actions& out)
{
    table_read read;
    read.operation = start_call(call_kind::read_back).operation;
    read.keys.push_back(pool_key(id_));
    for (auto const& [id, row] : commit_->rows)
        read.keys.push_back(runner_key(id));
    out.emplace_back(store_read{std::move(read)});
}

void pool_owner::take_read_back(time_point now, table_outcome const& outcome,
                                actions& out)
{
    auto const* const read = std::get_if<rows_read>(&outcome);
    if (read == nullptr)
        return delay_calls(now);
    call_delay_ = duration::zero();
    auto const* const pool_found = find_row(*read, pool_key(id_));
    verify(pool_found == nullptr ? table_row{} : *pool_found, out);
    if (!owned_)
        return;
    bool applied = true;
    for (auto const& [id, row] : commit_->rows)
    {
        auto const* const found = find_row(*read, runner_key(id));
        auto const ledger = ledgers_.find(id);
        table_row const absent{runner_key(id), 0, {}, {}};
        if (ledger != ledgers_.end())
            applied = settle_row(ledger->second, found ? *found : absent, out) && applied;
    }
    commit_.reset();
    changed_ = true;
    if (applied)
        return erase_removed_ledgers();
    for (auto& [id, ledger] : ledgers_)
        ledger.drop_undurable();
    delay_calls(now);
}

bool pool_owner::settle_row(runner_ledger& ledger, table_row const& row, actions& out)
{
    auto const& written = commit_->rows.at(ledger.id());
    if (row.value ? row.operation == commit_->operation : !written.has_value())
    {
        ledger.note_durable(row.version, written);
        return true;
    }
    auto parsed = row.value ? parse_runner_row(*row.value) : result<runner_row>{};
    auto const* const content = std::get_if<runner_row>(&parsed);
    if (row.value && (content == nullptr || content->pool != id_))
    {
        ledger.set_unreadable();
        log(410, ledger.id().str(), "the row is invalid or belongs to another pool", out);
        return false;
    }
    // An earlier commit of this owner may have arrived late; its content is known here.
    bool const own = row.operation.str().starts_with(context_.operation_prefix());
    if (!row.value || own || *content == ledger.durable())
        ledger.note_durable(row.version,
                            row.value ? std::optional(*content) : std::nullopt);
    else
        ledger.inherit(row.version, *content);
    if (commit_->may_arrive_late)
        ledger.require_write();
    return false;
}

void pool_owner::erase_removed_ledgers()
{
    std::erase_if(ledgers_, [](auto const& entry)
                  { return entry.second.removed() && !entry.second.durable(); });
}

} // namespace carawayturn::placement
