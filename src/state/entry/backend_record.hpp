#pragma once

#include "state/time.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace carawayturn::entry
{

/// A model that a runner holds, with its loaded adapters.
struct loaded_model
{
    std::string name;
    std::uint64_t version = 0;
    std::vector<std::string> adapters;
    friend bool operator==(loaded_model const&, loaded_model const&) = default;
};

/// A backend server's own record in the platform's store.
struct backend_record
{
    std::string id;
    std::string service;
    /// IP address and port.
    std::string address;
    std::string failure_domain;
    std::uint32_t slots = 1;
    /// The server finishes its running requests and accepts no new ones.
    bool draining = false;
    /// Unix time in milliseconds at which the server process started; identifies its
    /// incarnation.
    std::int64_t born_ms = 0;
    std::vector<loaded_model> models;
    /// Models whose weights are cached in the machine's memory or on its disk.
    std::vector<std::string> cached_in_memory;
    std::vector<std::string> cached_on_disk;
    /// Seconds for which the server was still cold when the hub marked it as cold; 0 if
    /// it is warm. Changes only when the mark does.
    std::uint32_t cold_for_s = 0;
    /// Remaining cold time that the row in the store states. It differs with each row, so
    /// instances are not sent it.
    std::optional<duration> cold_left = std::nullopt;
    /// Version of the server's software; empty if its row does not state it. Unrelated to
    /// the versions of models. Versions have no order.
    std::string software_version = {};

    friend bool operator==(backend_record const&, backend_record const&) = default;
};

/// A runner's answer to a state query. Its contents are some hundred milliseconds old.
struct runner_report
{
    std::vector<loaded_model> models;
    std::vector<std::string> cached_in_memory;
    std::vector<std::string> cached_on_disk;
    /// Adapters that are being loaded, as MODEL/ADAPTER, which may be followed by `@` and
    /// a suffix.
    std::vector<std::string> pending_adapters;
    /// The runner is executing an order for a model.
    bool busy = false;
    /// Orders accepted since the runner started.
    std::int64_t order_count = 0;
    std::optional<std::int64_t> born_ms;
};

} // namespace carawayturn::entry
