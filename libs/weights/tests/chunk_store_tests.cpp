#include <base/digest.hpp>
#include <weights/chunk_store.hpp>

#include <gtest/gtest.h>

namespace foxtailvale::weights
{

// A chunk is corrupted in transit. If it were stored and loaded, callers would
// get answers from mixed weights. The store must refuse it and stay incomplete
// until the right bytes arrive.
TEST(chunk_store, a_corrupted_chunk_never_completes_a_version)
{
    std::string const bytes = "0123456789";
    auto const text = to_text(describe_weights(bytes, 4));
    auto const digest = base::sha256_hex(text);
    chunk_store store{.capacity_bytes = 10};
    ASSERT_TRUE(add_version(store, digest, text).has_value());
    ASSERT_TRUE(put_chunk(store, digest, 0, "0123").has_value());
    ASSERT_TRUE(put_chunk(store, digest, 2, "89").has_value());
    auto const bad = put_chunk(store, digest, 1, "4x67");
    EXPECT_EQ(bad.error().kind, base::error_kind::bad_digest);
    EXPECT_FALSE(is_complete(store, digest));
    EXPECT_EQ(find_chunk(store, digest, 1), nullptr);
    EXPECT_TRUE(put_chunk(store, digest, 1, "4567").has_value());
    EXPECT_TRUE(is_complete(store, digest));
}

TEST(chunk_store, is_bounded_and_frees_what_is_removed)
{
    auto const text = to_text(describe_weights("0123456789", 4));
    auto const digest = base::sha256_hex(text);
    chunk_store store{.capacity_bytes = 15};
    ASSERT_TRUE(add_version(store, digest, text).has_value());
    auto const other = to_text(describe_weights("9876543210", 4));
    auto const other_digest = base::sha256_hex(other);
    EXPECT_FALSE(add_version(store, other_digest, other).has_value());
    remove_version(store, digest);
    EXPECT_TRUE(add_version(store, other_digest, other).has_value());
    EXPECT_EQ(store.used_bytes, 10U);
}

} // namespace foxtailvale::weights
