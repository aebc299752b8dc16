#include "fuzz_target.hpp"
#include "protocol/peer_codec.hpp"
#include "state/hash.hpp"

using namespace carawayturn;

namespace
{

constexpr std::string_view secret = "secret";
constexpr std::size_t code_bytes = 32;

std::string content_of(peer_message const& message)
{
    auto bytes = encode_peer(secret, instance_id("entry-1"), message);
    bytes.resize(bytes.size() - code_bytes);
    return bytes;
}

} // namespace

// The input is the content of a message; it is signed here, so that the decoder goes on
// to read it.
int fuzz_one(std::uint8_t const* data, std::size_t size)
{
    std::string bytes(as_text(data, size));
    auto const unsigned_message = decode_peer(secret, bytes);
    fuzz_check(!succeeded(unsigned_message), "an unsigned message is refused");
    bytes += hmac_sha256(secret, bytes);
    auto const outcome = decode_peer(secret, bytes);
    if (!succeeded(outcome))
        return 0;
    auto const& [from, message] = std::get<0>(outcome);
    auto const encoded = encode_peer(secret, from, message);
    auto const again = decode_peer(secret, encoded);
    fuzz_check(succeeded(again), "an encoded message is decoded");
    fuzz_check(encode_peer(secret, from, std::get<0>(again).message) == encoded,
               "decoding and encoding gives the same bytes");
    return 0;
}

std::vector<std::string> fuzz_samples()
{
    member_entry const member{instance_id("entry-1"),
                              9,
                              2,
                              true,
                              77,
                              instance_state::ready,
                              {"127.0.0.1", 4000},
                              failure_domain_id("a"),
                              duration(12),
                              5};
    fleet_config config;
    config.models[model_id("base")] = {model_id("base"), "2", 1000, 2};
    config.pools[pool_id("tax")] = {pool_id("tax"), pool_kind::plain, 4, 0.3, 32, {}};
    config.routes.push_back({"/tax", pool_id("tax"), false, true, -4, duration(7), 12});
    config.organisations[organisation_id("acme")] = {
        organisation_id("acme"), 0.1, 1000, {"*"}, {"tax"}, {digest("ab"), digest("cd")}};
    loaded_item const item{model_id("base"), adapter_id("notes"), "2", 500};
    lend_entry const lent{organisation_id("acme"), 1, 2, 3, -4, 5, 6, 7};
    config_reply const reply{4,
                             8,
                             duration(15),
                             {replace_config{config},
                              grant_key{organisation_id("acme"), digest("ef")},
                              put_adapter{{adapter_id("x"), model_id("base"), 1}},
                              remove_adapter{adapter_id("x")}},
                             {config}};
    return {
        content_of(
            gossip{{member, member}, {digest("bad")}, {{backend_id("runner-4"), 3}}}),
        content_of(config_query{4, 7}),
        content_of(reply),
        content_of(demand_report{pool_id("chat"),
                                 2,
                                 3,
                                 {{model_id("base"), adapter_id("notes"), 4, duration(5),
                                   duration(6), 7, organisation_id("acme")}}}),
        content_of(placement_update{
            pool_id("chat"), 1, 2, {{backend_id("r"), item}}, {{item, duration(9)}}}),
        content_of(lend_query{1, 2, {organisation_id("acme")}}),
        content_of(lend_reply{1, 2, {lent, lent}}),
        content_of(budget_ask{1, 2, lent}),
        content_of(budget_grant{1, 2, organisation_id("acme"), 3, 4, 5, 6, duration(7),
                                duration(8)}),
        content_of(poison_notice{digest("bad"), 2})};
}
