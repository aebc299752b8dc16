#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace carawayturn
{

/// A string that names one kind of thing, so that names of different kinds do not mix.
template <class Tag>
class name
{
public:
    name() = default;
    explicit name(std::string text) : text_(std::move(text)) {}

    [[nodiscard]] std::string const& str() const { return text_; }
    [[nodiscard]] bool empty() const { return text_.empty(); }
    friend auto operator<=>(name const&, name const&) = default;

private:
    std::string text_;
};

/// One running entry process, for example "entry-3".
using instance_id = name<struct instance_tag>;
/// One backend server: a model runner or an instance of a plain service.
using backend_id = name<struct backend_tag>;
using organisation_id = name<struct organisation_tag>;
using model_id = name<struct model_tag>;
using adapter_id = name<struct adapter_tag>;
/// The backend servers of one service: the runners of a model service or a plain service.
using pool_id = name<struct pool_tag>;
using failure_domain_id = name<struct failure_domain_tag>;
/// Identifies one caller request in logs, at backend servers and to operators.
using request_id = name<struct request_tag>;
/// Identifies one write to the table service; stored with each row it writes.
using operation_id = name<struct operation_tag>;
/// Identifies one durable load or unload decision.
using decision_id = name<struct decision_tag>;

/// Increases with each change of a lease's holder.
using fencing_number = std::uint64_t;
/// Version of the fleet configuration; grows by one with each accepted change.
using config_version = std::uint64_t;
/// Distinguishes successive processes or boots under one name.
using incarnation_number = std::uint64_t;
/// Number of an instance slot, from 0.
using slot_number = std::uint32_t;
/// Count of model tokens.
using token_count = std::int64_t;
using byte_count = std::int64_t;

/// SHA-256 in lower-case hexadecimal.
using digest = name<struct digest_tag>;

} // namespace carawayturn

template <class Tag>
struct std::hash<carawayturn::name<Tag>>
{
    std::size_t operator()(carawayturn::name<Tag> const& value) const noexcept
    {
        return std::hash<std::string>{}(value.str());
    }
};
