#pragma once

#include "state/entry/node_settings.hpp"
#include "state/time.hpp"

#include <map>
#include <string>

namespace carawayturn::entry
{

/// This instance's share of the limit on retries to each service. Handles the load
/// pattern "many backend servers fail at once": retries stay a fixed share of the
/// requests, whatever the number of instances.
class retry_budget
{
public:
    explicit retry_budget(service_bounds const& bounds);

    /// Sets the number of instances that share the fixed part of the limit.
    void set_instances(std::size_t count);

    /// Counts the first attempt of a request, which earns a fraction of a retry.
    void count_request(std::string const& service, time_point now);

    /// Whether the budget has a retry left.
    [[nodiscard]] bool available(std::string const& service, time_point now);
    /// Takes one retry from the budget. Returns false if the budget is used up.
    [[nodiscard]] bool take(std::string const& service, time_point now);
    /// Returns a retry that was taken, because nothing was sent for it.
    void give_back(std::string const& service);

private:
    struct account
    {
        double tokens = 0;
        time_point last{};
        bool fresh = true;
    };
    account& refresh(std::string const& service, time_point now);
    [[nodiscard]] double fixed_share() const;

    service_bounds bounds_;
    std::size_t instances_ = 16;
    std::map<std::string, account> accounts_;
};

} // namespace carawayturn::entry
