#pragma once

#include "coordination/action.hpp"
#include "coordination/component.hpp"

#include <algorithm>
#include <deque>
#include <map>
#include <vector>

namespace carawayturn::testing_support
{

/// A table service in memory. Commits can be refused, or lose their answers.
class table_fake
{
public:
    enum class mode
    {
        works,
        unavailable,
        /// Commits take effect, and their answers are lost.
        answer_lost,
        /// Commits do not take effect until land_late(), and their answers are lost.
        late,
        silent
    };

    mode commits = mode::works;
    mode reads = mode::works;
    std::map<std::string, table_row> rows;
    int commit_count = 0;
    int read_count = 0;

    table_outcome commit(table_commit const& request)
    {
        ++commit_count;
        if (commits == mode::unavailable)
        {
            return table_unavailable{"down"};
        }
        if (commits == mode::late)
        {
            late_.push_back(request);
            return outcome_unknown{"late"};
        }
        auto outcome = apply(request);
        return commits == mode::answer_lost ? table_outcome(outcome_unknown{"lost"})
                                            : outcome;
    }
    table_outcome read(table_read const& request)
    {
        ++read_count;
        if (reads != mode::works)
        {
            return table_unavailable{"down"};
        }
        rows_read found;
        for (auto const& key : request.keys)
        {
            found.rows.push_back(row(key));
        }
        for (auto const& [key, stored] : rows)
        {
            if (!request.prefix.empty() && key.starts_with(request.prefix) &&
                key > request.after && found.rows.size() < request.limit)
            {
                found.rows.push_back(stored);
            }
        }
        return found;
    }
    void land_late()
    {
        for (auto const& request : std::exchange(late_, {}))
        {
            static_cast<void>(apply(request));
        }
    }
    [[nodiscard]] table_row row(std::string const& key) const
    {
        auto const found = rows.find(key);
        return found == rows.end() ? table_row{key, 0, {}, {}} : found->second;
    }

    /// Answers the operations among the actions, and those that follow, and returns the
    /// other actions.
    actions serve(component& part, time_point now, actions pending)
    {
        actions rest;
        std::deque<action> queue(pending.begin(), pending.end());
        while (!queue.empty())
        {
            action const next = queue.front();
            queue.pop_front();
            actions out;
            if (auto const* const write = std::get_if<store_commit>(&next))
            {
                auto const outcome = commit(write->commit);
                if (commits != mode::silent)
                {
                    part.handle(now, table_answered{write->commit.operation, outcome},
                                out);
                }
            }
            else if (auto const* const query = std::get_if<store_read>(&next))
            {
                part.handle(now, table_answered{query->read.operation, read(query->read)},
                            out);
            }
            else
            {
                rest.push_back(next);
            }
            queue.insert(queue.end(), out.begin(), out.end());
        }
        return rest;
    }

private:
    table_outcome apply(table_commit const& request)
    {
        commit_conflict conflict;
        for (auto const& check : request.checks)
        {
            if (row(check.key).version != check.version)
            {
                conflict.current.push_back({check.key, row(check.key).version});
            }
        }
        if (!conflict.current.empty())
        {
            return conflict;
        }
        committed done;
        for (auto const& write : request.writes)
        {
            rows[write.key] = {write.key, ++version_, request.operation, write.value};
            done.versions.push_back({write.key, version_});
        }
        return done;
    }

    row_version version_ = 0;
    std::vector<table_commit> late_;
};

} // namespace carawayturn::testing_support
