#pragma once

#include "state/fleet.hpp"
#include "state/fleet_config.hpp"
#include "state/identifiers.hpp"
#include "state/result.hpp"

#include <optional>
#include <string>

namespace carawayturn::cli
{

/// Calls the operators' interface of one instance.
class admin_client
{
public:
    admin_client(endpoint instance, std::string operator_token);

    /// The configuration in force at the instance.
    [[nodiscard]] result<fleet_config> config() const;

    /// Submits a change and returns the instance's answer as JSON. The operation id makes
    /// a repeated submission of the same change safe.
    [[nodiscard]] result<std::string>
    submit(operation_id const& operation, config_change const& change,
           std::optional<config_version> expected) const;

    /// The instance's state dump as JSON.
    [[nodiscard]] result<std::string> state() const;

    /// What happened to one request, as JSON.
    [[nodiscard]] result<std::string> explain(request_id const& request) const;

    /// Asks the instance to drain and exit.
    [[nodiscard]] result<std::string> drain() const;

private:
    [[nodiscard]] result<std::string> call(std::string method, std::string target,
                                           std::string body) const;

    endpoint instance_;
    std::string operator_token_;
};

} // namespace carawayturn::cli
