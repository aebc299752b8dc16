#include "fleet/fake_table.hpp"

#include <algorithm>

namespace carawayturn::bench
{

table_outcome fake_table::commit(table_commit const& wanted)
{
    if (down)
        return table_unavailable{"down"};
    commit_conflict conflict;
    for (auto const& check : wanted.checks)
    {
        auto const current = row(check.key).version;
        if (current != check.version)
            conflict.current.push_back({check.key, current});
    }
    if (!conflict.current.empty())
        return conflict;
    ++commits_;
    committed done;
    for (auto const& write : wanted.writes)
    {
        if (!write.value)
        {
            rows_.erase(write.key);
            done.versions.push_back({write.key, 0});
            continue;
        }
        rows_[write.key] = {write.key, ++last_version_, wanted.operation, write.value};
        done.versions.push_back({write.key, last_version_});
    }
    return done;
}

table_outcome fake_table::read(table_read const& wanted)
{
    if (down)
        return table_unavailable{"down"};
    ++reads_;
    rows_read found;
    for (auto const& key : wanted.keys)
        found.rows.push_back(row(key));
    if (wanted.prefix.empty())
        return found;
    auto at = rows_.lower_bound(std::max(wanted.prefix, wanted.after));
    for (std::uint32_t left = wanted.limit;
         left > 0 && at != rows_.end() && at->first.starts_with(wanted.prefix); ++at)
    {
        if (at->first == wanted.after)
            continue;
        found.rows.push_back(at->second);
        --left;
    }
    return found;
}

table_row fake_table::row(std::string const& key) const
{
    auto const found = rows_.find(key);
    return found == rows_.end() ? table_row{key, 0, {}, std::nullopt} : found->second;
}

} // namespace carawayturn::bench
