#pragma once

#include "state/table.hpp"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace carawayturn
{

/// Table service in memory with the faults that the core must survive.
class fake_table
{
public:
    /// Refuses everything.
    bool down = false;
    /// Number of next commits that take effect but whose answers are lost.
    std::size_t lose_answers = 0;
    /// Number of next commits whose answers are lost and that take effect only in
    /// apply_held().
    std::size_t hold_commits = 0;

    table_outcome commit(table_commit const& request)
    {
        if (down)
            return table_unavailable{"down"};
        if (hold_commits > 0)
        {
            --hold_commits;
            held_.push_back(request);
            return outcome_unknown{"held"};
        }
        auto outcome = apply(request);
        if (lose_answers > 0)
        {
            --lose_answers;
            return outcome_unknown{"answer lost"};
        }
        return outcome;
    }

    table_outcome read(table_read const& request) const
    {
        if (down)
            return table_unavailable{"down"};
        rows_read answer;
        for (auto const& key : request.keys)
            answer.rows.push_back(row(key));
        if (!request.keys.empty())
            return answer;
        for (auto const& [key, found] : rows_)
        {
            if (key.starts_with(request.prefix) && key > request.after &&
                answer.rows.size() < request.limit)
                answer.rows.push_back(found);
        }
        return answer;
    }

    /// Lets the held commits take effect, or conflict, now.
    std::vector<table_outcome> apply_held()
    {
        std::vector<table_outcome> outcomes;
        for (auto const& request : held_)
            outcomes.push_back(apply(request));
        held_.clear();
        return outcomes;
    }

    [[nodiscard]] table_row row(std::string const& key) const
    {
        auto const found = rows_.find(key);
        return found == rows_.end() ? table_row{key, 0, {}, std::nullopt} : found->second;
    }

    [[nodiscard]] std::map<std::string, table_row> const& rows() const { return rows_; }

private:
    table_outcome apply(table_commit const& request)
    {
        commit_conflict conflict;
        for (auto const& check : request.checks)
        {
            if (row(check.key).version != check.version)
                conflict.current.push_back({check.key, row(check.key).version});
        }
        if (!conflict.current.empty())
            return conflict;
        committed done;
        for (auto const& write : request.writes)
        {
            auto& target = rows_[write.key];
            target = {write.key, ++last_version_, request.operation, write.value};
            done.versions.push_back({write.key, target.version});
            if (!write.value)
                rows_.erase(write.key);
        }
        return done;
    }

    std::map<std::string, table_row> rows_;
    std::vector<table_commit> held_;
    row_version last_version_ = 0;
};

} // namespace carawayturn
