#include "coordination/entry/peer_addresses.hpp"

#include <algorithm>

namespace carawayturn::entry
{

namespace
{

/// Addresses that are kept. Even with half of the instances turned away, one of eight is
/// almost surely in touch with the store.
constexpr std::size_t kept_addresses = 8;

} // namespace

peer_book::peer_book(duration patience) : patience_(patience) {}

void peer_book::heard_of(std::vector<std::string> const& addresses)
{
    for (auto const& address : addresses)
    {
        std::erase(addresses_, address);
        addresses_.push_back(address);
    }
    while (addresses_.size() > kept_addresses)
        addresses_.pop_front();
}

std::optional<std::string> peer_book::next(bool store_answers, duration confirmation_age,
                                           bool behind)
{
    bool const needed = !store_answers && (confirmation_age > patience_ || behind);
    if (!needed || addresses_.empty())
        return std::nullopt;
    auto const address = addresses_.front();
    addresses_.pop_front();
    addresses_.push_back(address);
    return address;
}

} // namespace carawayturn::entry
