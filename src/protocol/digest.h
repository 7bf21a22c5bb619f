// SHA-256 digests of payloads.

#ifndef SRC_PROTOCOL_DIGEST_H_
#define SRC_PROTOCOL_DIGEST_H_

#include <string>
#include <string_view>

namespace peridot {

// Returns the SHA-256 of the bytes as 64 lower-case hexadecimal digits. Returns
// an empty string if OpenSSL fails, which never equals the digest of a peer.
// Thread-safe.
std::string Sha256Hex(std::string_view bytes);

}  // namespace peridot

#endif  // SRC_PROTOCOL_DIGEST_H_
