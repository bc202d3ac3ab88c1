#include <base/digest.hpp>

#include <Poco/Crypto/DigestEngine.h>
#include <Poco/Crypto/OpenSSLInitializer.h>

namespace foxtailvale::base
{

std::string sha256_hex(std::string_view bytes)
{
    // Failure: POCO releases OpenSSL's locks when the last live digest is
    // destroyed. If another thread creates a digest at that moment, the process
    // ends with a segmentation fault. This initializer lives as long as the
    // process, so no digest is ever the last user of the locks.
    static Poco::Crypto::OpenSSLInitializer const openssl_initializer;
    Poco::Crypto::DigestEngine engine("SHA256");
    engine.update(bytes.data(), bytes.size());
    return Poco::DigestEngine::digestToHex(engine.digest());
}

std::uint64_t stable_hash(std::string_view bytes, std::uint64_t seed)
{
    // FNV-1a with a final mix, so that similar names get widely different
    // hashes.
    constexpr std::uint64_t offset = 14695981039346656037U;
    constexpr std::uint64_t prime = 1099511628211U;
    std::uint64_t hash = offset ^ (seed * prime);
    for (char const byte : bytes)
    {
        hash ^= static_cast<unsigned char>(byte);
        hash *= prime;
    }
    hash ^= hash >> 33U;
    hash *= 0xff51afd7ed558ccdU;
    hash ^= hash >> 33U;
    hash *= 0xc4ceb9fe1a85ec53U;
    hash ^= hash >> 33U;
    return hash;
}

} // namespace foxtailvale::base
