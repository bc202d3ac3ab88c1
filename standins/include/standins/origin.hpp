#ifndef FOXTAILVALE_STANDINS_ORIGIN_HPP
#define FOXTAILVALE_STANDINS_ORIGIN_HPP

#include <http/http_server.hpp>
#include <standins/synthetic.hpp>
#include <standins/token_bucket.hpp>

#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace foxtailvale::standins
{

// Limits of the origin.
struct origin_options
{
    // Total over all connections; zero is unlimited.
    std::uint64_t bytes_per_second = 0;
};

// The origin of weights; with a rate limit it stands for a rate-limited weight
// store. Serves manifests and chunks, counts bytes per version, and corrupts
// chunks on request.
class origin
{
public:
    origin(
        http::server_options const& options,
        origin_options const& behaviour,
        std::vector<synthetic_weights> versions);

private:
    using request = Poco::Net::HTTPServerRequest;
    using response = Poco::Net::HTTPServerResponse;

    void answer(request& incoming, response& reply);
    void send_chunk(
        synthetic_weights const& version, std::size_t index, response& reply);
    void control(request& incoming, response& reply);
    void send_counters(response& reply);
    bool take_allowance(std::uint64_t bytes);

    token_bucket rate;
    std::map<std::string, synthetic_weights> versions;
    std::mutex mutex;
    bool outage = false;
    std::uint32_t corrupt_chunks = 0;
    std::map<std::string, std::uint64_t> bytes_sent;
    std::uint64_t refusals = 0;
    http::server listener;
};

} // namespace foxtailvale::standins

#endif
