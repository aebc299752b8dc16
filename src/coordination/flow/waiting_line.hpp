#pragma once

#include "coordination/flow/open_request.hpp"

#include <cstdint>
#include <map>
#include <vector>

namespace carawayturn::flow
{

/// What the line needs to know of a waiting request.
struct waiting_entry
{
    request_id request;
    organisation_id organisation;
    std::int32_t priority = 0;
    time_point since{};
    time_point deadline{};
    token_count tokens = 0;
    /// The organisation's rate: twice the rate gets twice the work.
    double weight = 1;
};

/// The bounded waiting line of one instance, by target. The order within a target is
/// priority, then the organisation with the least work so far relative to its rate, then
/// deadline.
class waiting_line
{
public:
    /// Returns false if the line, or the organisation's part of it, is full.
    bool add(target const& goal, waiting_entry entry, std::uint32_t limit,
             std::uint32_t organisation_limit);

    void remove(target const& goal, request_id const& request);

    /// Requests waiting for the target, first to be served first.
    [[nodiscard]] std::vector<waiting_entry> ordered(target const& goal) const;

    [[nodiscard]] std::vector<target> targets() const;
    [[nodiscard]] std::size_t size() const { return size_; }
    [[nodiscard]] std::size_t waiting_for(target const& goal) const;

    /// Counts work given to an organisation: tokens divided by its weight. An
    /// organisation that was idle starts level with the least served active one, so that
    /// it gets no credit for having been idle.
    void charge(organisation_id const& organisation, token_count tokens, double weight);

private:
    [[nodiscard]] double work_of(organisation_id const& organisation) const;
    void start_level(organisation_id const& organisation);

    std::map<target, std::vector<waiting_entry>> lines_;
    std::map<organisation_id, std::uint32_t> waiting_by_organisation_;
    std::map<organisation_id, double> work_;
    std::size_t size_ = 0;
};

} // namespace carawayturn::flow
