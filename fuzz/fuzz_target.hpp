#pragma once

#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <string_view>
#include <vector>

// Each file *_fuzz.cpp defines fuzz_one() and fuzz_samples(). The driver uses both,
// libFuzzer only the first.

/// Decodes the input and checks the properties that hold for every input. Aborts if one
/// is violated; otherwise returns 0.
int fuzz_one(std::uint8_t const* data, std::size_t size);

/// Returns valid inputs, which the driver mutates.
std::vector<std::string> fuzz_samples();

inline std::string_view as_text(std::uint8_t const* data, std::size_t size)
{
    return {reinterpret_cast<char const*>(data), size};
}

/// Removes the first byte of the text and uses it to select one of the values. Returns
/// the first value for an empty text.
template <std::size_t Count>
unsigned take_choice(std::string_view& text, unsigned const (&values)[Count])
{
    if (text.empty())
        return values[0];
    auto const index = static_cast<unsigned char>(text.front()) % Count;
    text.remove_prefix(1);
    return values[index];
}

inline void fuzz_check(bool holds, char const* what)
{
    if (holds)
        return;
    std::fprintf(stderr, "violated: %s\n", what);
    std::abort();
}
