#ifndef FOXTAILVALE_GATEWAY_LOAD_NOTICES_HPP
#define FOXTAILVALE_GATEWAY_LOAD_NOTICES_HPP

#include <gateway/entry_context.hpp>
#include <proto/foxtailvale.pb.h>

#include <cstddef>
#include <string>
#include <vector>

// What entries of a failure domain tell each other of services under ranked
// admission: the load of each, and the promised returns.
namespace foxtailvale::gateway
{

// Maximum size of the load of one service in a message.
inline constexpr std::size_t max_load_bytes = 512;

// Packs what goes into refusal notices into datagrams that no link fragments.
class notice_packer
{
public:
    explicit notice_packer(std::string name);

    void add(request::fingerprint refused);
    void add(wire::ServiceLoad const& load);
    void add(wire::ReturnPromise const& promise);

    // Returns the serialized datagrams; none if nothing was added.
    std::vector<std::string> take();

private:
    // The notice that has room for this many more bytes.
    wire::RefusalNotice& notice_with_room(std::size_t bytes);

    std::string sender;
    std::vector<wire::Datagram> datagrams;
    std::size_t last_size = 0;
};

// Adds the load of each service under ranked admission at which this entry
// refused requests in the last second or has requests waiting, and the promises
// given or used here. Adds nothing within 100 ms of the last time.
void add_load_notices(
    entry_context& context, notice_packer& packer, base::time_point now);

// Takes over the load and promises that the entry at this IP address sent. What
// is invalid is dropped and counted.
void note_load_notices(
    entry_context& context,
    std::string const& entry,
    wire::RefusalNotice const& notice,
    base::time_point now);

} // namespace foxtailvale::gateway

#endif
