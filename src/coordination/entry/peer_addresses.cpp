#include "coordination/entry/peer_addresses.hpp"

#include <algorithm>

namespace carawayturn::entry
{

namespace
{

/// Number of addresses to keep. Even if the store rejects half of the instances, one of
/// eight can almost certainly reach it.
constexpr std::size_t max_addresses = 8;

} // namespace

peer_addresses::peer_addresses(duration max_confirmation_age)
    : max_confirmation_age_(max_confirmation_age)
{
}

void peer_addresses::add(std::vector<std::string> const& addresses)
{
    for (auto const& address : addresses)
    {
        std::erase(addresses_, address);
        addresses_.push_back(address);
    }
    while (addresses_.size() > max_addresses)
        addresses_.pop_front();
}

std::optional<std::string> peer_addresses::next_to_ask(bool store_answers,
                                                       duration confirmation_age,
                                                       bool config_outdated)
{
    bool const needed =
        !store_answers && (confirmation_age > max_confirmation_age_ || config_outdated);
    if (!needed || addresses_.empty())
        return std::nullopt;
    auto const address = addresses_.front();
    addresses_.pop_front();
    addresses_.push_back(address);
    return address;
}

} // namespace carawayturn::entry
