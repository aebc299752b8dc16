// Runs a fuzz target on mutated samples with a fixed seed, and limits the memory that one
// input may use. Usage: PROGRAM [COUNT [SEED]]; or PROGRAM --input FILE for one
// input.

#include "fuzz_target.hpp"

#include <malloc.h>

#include <fstream>
#include <iterator>
#include <new>
#include <random>

namespace
{

/// Limit for the memory in use during one input: a constant part and a part per input
/// byte. In the codecs a set of empty strings uses the most memory per byte: about 100
/// bytes for a length field of 4 bytes. The limit also covers checks that decode twice.
constexpr std::size_t base_bytes = 64UL << 10U;
constexpr std::size_t bytes_per_input_byte = 256;

constexpr unsigned long default_count = 20'000;
constexpr unsigned long default_seed = 1;
constexpr unsigned max_mutations = 4;

std::size_t bytes_in_use = 0;
std::size_t bytes_allowed = SIZE_MAX;

void count_allocated(void* block)
{
    bytes_in_use += malloc_usable_size(block);
    if (bytes_in_use <= bytes_allowed)
        return;
    std::fprintf(stderr, "violated: %zu bytes in use, %zu allowed\n", bytes_in_use,
                 bytes_allowed);
    std::abort();
}

using generator = std::mt19937_64;

std::size_t random_below(generator& random, std::size_t limit)
{
    return limit == 0 ? 0 : random() % limit;
}

void flip_bit(std::string& input, generator& random)
{
    if (!input.empty())
        input[random_below(random, input.size())] ^=
            static_cast<char>(1U << random_below(random, 8));
}

void replace_byte(std::string& input, generator& random)
{
    using namespace std::string_view_literals;
    // A string_view literal keeps the NUL byte at its start.
    static constexpr auto bytes = "\0\1\x7f\x80\xff\"\\[]{},:0-9eE.tn "sv;
    if (!input.empty())
        input[random_below(random, input.size())] =
            bytes[random_below(random, bytes.size())];
}

void truncate(std::string& input, generator& random)
{
    input.resize(random_below(random, input.size() + 1));
}

void remove_range(std::string& input, generator& random)
{
    auto const begin = random_below(random, input.size() + 1);
    input.erase(begin, random_below(random, 16));
}

void repeat_range(std::string& input, generator& random)
{
    auto const begin = random_below(random, input.size() + 1);
    auto const part = input.substr(begin, random_below(random, 64));
    input.insert(begin, part);
}

void splice(std::string& input, std::string const& other, generator& random)
{
    input.resize(random_below(random, input.size() + 1));
    input += other.substr(random_below(random, other.size() + 1));
}

std::string mutate(std::vector<std::string> const& samples, generator& random)
{
    std::string input = samples[random_below(random, samples.size())];
    for (auto left = 1 + random_below(random, max_mutations); left != 0; --left)
    {
        switch (random_below(random, 6))
        {
        case 0:
            flip_bit(input, random);
            break;
        case 1:
            replace_byte(input, random);
            break;
        case 2:
            truncate(input, random);
            break;
        case 3:
            remove_range(input, random);
            break;
        case 4:
            repeat_range(input, random);
            break;
        default:
            splice(input, samples[random_below(random, samples.size())], random);
        }
    }
    return input;
}

void run_one(std::string const& input)
{
    bytes_allowed = bytes_in_use + base_bytes + bytes_per_input_byte * input.size();
    fuzz_one(reinterpret_cast<std::uint8_t const*>(input.data()), input.size());
    bytes_allowed = SIZE_MAX;
}

void run_random(unsigned long count, unsigned long seed)
{
    auto const samples = fuzz_samples();
    for (auto const& sample : samples)
        run_one(sample);
    generator random(seed);
    for (unsigned long run = 0; run < count; ++run)
        run_one(mutate(samples, random));
    std::printf("%zu samples, %lu mutated inputs, seed %lu\n", samples.size(), count,
                seed);
}

} // namespace

void* operator new(std::size_t size)
{
    void* const block = std::malloc(size == 0 ? 1 : size);
    if (block == nullptr)
        throw std::bad_alloc();
    count_allocated(block);
    return block;
}

void operator delete(void* block) noexcept
{
    if (block != nullptr)
        bytes_in_use -= malloc_usable_size(block);
    std::free(block);
}

void operator delete(void* block, std::size_t) noexcept
{
    operator delete(block);
}

int main(int argc, char** argv)
{
    if (argc == 3 && std::string_view(argv[1]) == "--input")
    {
        std::ifstream file(argv[2], std::ios::binary);
        run_one({std::istreambuf_iterator<char>(file), {}});
        return 0;
    }
    run_random(argc > 1 ? std::strtoul(argv[1], nullptr, 10) : default_count,
               argc > 2 ? std::strtoul(argv[2], nullptr, 10) : default_seed);
}
