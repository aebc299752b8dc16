#include "fuzz_target.hpp"
#include "protocol/entry/event_splitter.hpp"
#include "protocol/entry/node_codec.hpp"
#include "protocol/entry/packed_text.hpp"

using namespace carawayturn;
using namespace carawayturn::entry;

namespace
{

// The first byte of an input selects the decoder.
constexpr unsigned decoders[] = {0, 1, 2, 3};
constexpr std::size_t text_limit = 4096;

template <class Message>
void check_message(result<Message> const& read,
                   result<Message> (*decode)(std::string_view))
{
    if (!succeeded(read))
        return;
    auto const bytes = encode(std::get<Message>(read));
    auto const again = decode(bytes);
    fuzz_check(succeeded(again), "an encoded message can be decoded");
    fuzz_check(encode(std::get<Message>(again)) == bytes,
               "encoding a decoded message gives the same bytes");
}

/// Checks that the splitter returns every byte, with the input appended in small pieces.
void check_events(std::string_view bytes)
{
    event_splitter events;
    std::string taken;
    for (std::size_t at = 0; at < bytes.size(); at += 7)
    {
        events.append(bytes.substr(at, 7));
        taken += events.take_events();
    }
    fuzz_check(taken + std::string(events.incomplete_event()) == bytes,
               "no byte of a stream is lost or added");
}

std::string sample(char decoder, std::string const& bytes)
{
    return decoder + bytes;
}

} // namespace

// Decodes messages between instances, packed texts and backend servers' event streams.
int fuzz_one(std::uint8_t const* data, std::size_t size)
{
    auto text = as_text(data, size);
    switch (take_choice(text, decoders))
    {
    case 0:
        check_message(decode_status(text), decode_status);
        break;
    case 1:
        check_message(decode_update(text), decode_update);
        break;
    case 2:
        static_cast<void>(unpack(text, text_limit));
        break;
    default:
        check_events(text);
    }
    return 0;
}

std::vector<std::string> fuzz_samples()
{
    node_status status;
    status.node = "n1";
    status.address = "10.0.0.1:7600";
    status.incarnation = 1700000000000000;
    status.directory_digest.assign(64, 0x123456789abcdef0);
    status.in_flight = {{"s1", "m1/a1", 3}};
    status.demand = {{"s", "m1", 1000, 2}};
    status.quota_requests = {{7, "acme", 1460.5, 200}};
    status.crashes = {{99, "s1"}};
    status.cleared_signatures = {5, 6};
    status.leaving = {{"s1", 1700000000000}, {"s2", -1}};
    node_update update;
    update.lease = {"10.0.0.1:7600", "n1", 5, 2};
    update.lease_remaining_us = -5;
    update.packed_config = pack("a configuration");
    update.is_resync = true;
    update.replaced_buckets = ~std::uint64_t{0};
    directory_part part;
    part.records = {
        {"s1", "s", "10.0.0.1:80", "a", 6, true, -9, {{"m1", 1, {"a1"}}}, {}, {}}};
    part.removed = {"s2"};
    update.directory = {std::make_shared<directory_part const>(part)};
    update.loads = std::make_shared<fleet_loads const>(fleet_loads{77, {3, 0, 300}});
    update.other_instances_loads = {{0xfedcba98, 300}};
    update.estimates = {{"s", "m1", 6000000}};
    update.unloading_models = {{"s1", "m1"}};
    update.quota = {{7, 1460.5, 12}};
    update.exhausted_organisations = {"o1", "o2", "o2"};
    update.crashes = {{99, 2}};
    update.cleared_signatures = {7};
    update.peers = {"10.0.0.2:7600"};
    return {sample(0, encode(status)), sample(1, encode(update)),
            sample(2, pack("some text")),
            sample(3, "id: 1\ndata: a\n\n: c\n\nid: 2\r\ndata: b\r\n\r\nda")};
}
