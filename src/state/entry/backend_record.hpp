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

/// What a backend server says of itself in the platform's store.
struct backend_record
{
    std::string id;
    std::string service;
    /// IP address and port.
    std::string address;
    std::string failure_domain;
    std::uint32_t slots = 1;
    /// It finishes what it runs and takes nothing new.
    bool draining = false;
    /// Unix time of its start in milliseconds; differs between incarnations.
    std::int64_t born_ms = 0;
    std::vector<loaded_model> models;
    /// Models whose weights lie in the machine's memory or on its disk.
    std::vector<std::string> cached_in_memory;
    std::vector<std::string> cached_on_disk;

    friend bool operator==(backend_record const&, backend_record const&) = default;
};

/// What a runner answers when asked for its state; some hundred milliseconds old.
struct runner_report
{
    std::vector<loaded_model> models;
    std::vector<std::string> cached_in_memory;
    std::vector<std::string> cached_on_disk;
    /// Adapters whose load is under way, as model/adapter.
    std::vector<std::string> pending_adapters;
    /// A model order is being carried out.
    bool busy = false;
    /// Number of orders accepted since its start.
    std::int64_t order_count = 0;
    std::optional<std::int64_t> born_ms;
};

} // namespace carawayturn::entry
