#include "fuzz_target.hpp"

extern "C" int LLVMFuzzerTestOneInput(std::uint8_t const* data, std::size_t size)
{
    return fuzz_one(data, size);
}
