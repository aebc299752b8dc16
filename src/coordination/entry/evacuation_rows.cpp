#include "coordination/entry/evacuation_rows.hpp"

namespace carawayturn::entry
{

namespace
{

/// Longer names are ignored, so that the set fits into each message.
constexpr std::size_t max_name_bytes = 256;

} // namespace

void evacuation_rows::put(std::string const& domain, std::uint64_t row_version)
{
    bool const known = rows_.count(domain) != 0;
    if (domain.empty() || domain.size() > max_name_bytes ||
        (!known && rows_.size() >= max_evacuated_domains))
        ++ignored_;
    else
        rows_[domain] = row_version;
}

void evacuation_rows::remove(std::string const& domain)
{
    rows_.erase(domain);
    incomplete_ = incomplete_ || ignored_ > 0;
}

evacuated_domains evacuation_rows::as_of(std::uint64_t version) const
{
    evacuated_domains set;
    set.known = true;
    set.version = version;
    for (auto const& [name, row_version] : rows_)
        set.domains.push_back({name, row_version});
    return set;
}

} // namespace carawayturn::entry
