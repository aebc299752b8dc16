#pragma once

#include "fleet/fleet.hpp"

#include <map>
#include <string>
#include <vector>

namespace carawayturn::bench
{

/// Watches one run: what the fakes ran and held, not what the product believes.
class invariants
{
public:
    invariants(fleet& watched, fleet_config const& config);

    /// Looks at versions in force and at accepted submissions; called every 50 ms.
    void observe();
    /// The time until which a late answer is excused, because an instance was frozen.
    void excuse_until(time_point when)
    {
        excused_until_ = std::max(excused_until_, when);
    }
    /// Notes that a server is leaving from now on.
    void note_leaving(std::size_t engine);
    /// Notes which key a submission withdraws.
    void note_withdrawal(operation_id const& submission,
                         organisation_id const& organisation);

    /// Checks everything at the end of the run.
    [[nodiscard]] std::vector<std::string> check();

private:
    void check_engines();
    void check_callers();
    void check_caller(caller_record const& record);
    void check_rates();
    void check_withdrawals();
    void check_convergence();
    void violate(std::string text);
    [[nodiscard]] std::vector<time_point>
    executions_of(std::string const& reference) const;
    [[nodiscard]] bool ran_before_refusal(caller_record const& record) const;

    fleet& watched_;
    fleet_config const& config_;
    std::map<std::pair<std::size_t, incarnation_number>, config_version> highest_seen_;
    struct withdrawal
    {
        organisation_id organisation;
        std::optional<time_point> committed;
        std::optional<time_point> accepted;
    };
    std::map<operation_id, withdrawal> withdrawals_;
    time_point excused_until_{};
    std::vector<std::string> violations_;
};

} // namespace carawayturn::bench
