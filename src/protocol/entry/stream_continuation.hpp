#pragma once

#include <cstdint>
#include <string_view>

namespace carawayturn::entry
{

/// Why the answer of another run does not continue a stream that has begun.
enum class continuation_fault : std::uint8_t
{
    none,
    /// The status differs from the one that the caller has received.
    status,
    /// The media type differs from the one that the caller has received.
    media_type,
    /// The body has a content coding.
    content_coding,
    /// The backend server's signature is missing.
    signature
};

[[nodiscard]] std::string_view name_of(continuation_fault fault);

/// What the head of an answer says about its body.
struct answer_form
{
    unsigned status = 0;
    /// Value of the Content-Type header; empty if there is none.
    std::string_view content_type;
    bool signed_by_server = false;
    /// The body has a Content-Encoding.
    bool encoded = false;
};

/// Returns why the body of an answer cannot continue a stream that began with the head
/// `begun`. Only the status and the content type of `begun` are compared.
[[nodiscard]] continuation_fault find_head_fault(answer_form const& begun,
                                                 answer_form const& answer);

} // namespace carawayturn::entry
