#include "fuzz_target.hpp"
#include "state/config_text.hpp"

using namespace carawayturn;

int fuzz_one(std::uint8_t const* data, std::size_t size)
{
    auto const change = parse_change(as_text(data, size));
    if (!succeeded(change))
        return 0;
    auto const again = parse_change(print_change(std::get<0>(change)));
    fuzz_check(again == change, "a printed change is read back");
    return 0;
}

std::vector<std::string> fuzz_samples()
{
    return {R"({"type":"replace","config":{"models":[{"id":"base","bytes":1}]}})",
            R"({"type":"grant_key","organisation":"acme","key_digest":"ab"})",
            R"({"type":"withdraw_key","organisation":"acme","key_digest":"ab"})",
            R"({"type":"put_adapter","adapter":{"id":"a","model":"base","bytes":9}})",
            R"({"type":"remove_adapter","adapter":"a"})"};
}
