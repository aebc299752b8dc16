#pragma once

#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <string_view>
#include <vector>

// What each file *_fuzz.cpp defines, for the driver or for libFuzzer.

/// Decodes the input and checks what must hold for any input; aborts if it does not.
/// Returns 0.
int fuzz_one(std::uint8_t const* data, std::size_t size);

/// Valid inputs, which the driver mutates.
std::vector<std::string> fuzz_samples();

inline std::string_view as_text(std::uint8_t const* data, std::size_t size)
{
    return {reinterpret_cast<char const*>(data), size};
}

/// Takes the first byte to choose one of the given values; the rest stays in the text.
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
