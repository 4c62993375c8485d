#include <plumdale/protocol/text_patch.hpp>

#include <openssl/sha.h>

#include <algorithm>
#include <array>
#include <bit>
#include <cstring>
#include <memory>
#include <zstd.h>

namespace plumdale::protocol
{
namespace
{

constexpr int compression_level = 3;
// The window has to span the whole base. Its bounds are the library's minimum and what a
// configuration of maximum size needs.
constexpr int min_window_log = 10;
constexpr int max_window_log = 25;

struct compressor_deleter
{
    void operator()(ZSTD_CCtx* context) const noexcept
    {
        ZSTD_freeCCtx(context);
    }
};

struct decompressor_deleter
{
    void operator()(ZSTD_DCtx* context) const noexcept
    {
        ZSTD_freeDCtx(context);
    }
};

int window_log_for(std::size_t bytes)
{
    return std::clamp(static_cast<int>(std::bit_width(bytes)) + 1, min_window_log, max_window_log);
}

state::failure malformed(char const* detail)
{
    return {state::error_kind::invalid_request, detail};
}

} // namespace

std::string make_patch(std::string_view base, std::string_view text)
{
    std::unique_ptr<ZSTD_CCtx, compressor_deleter> const context{ZSTD_createCCtx()};
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_compressionLevel, compression_level);
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_windowLog,
                           window_log_for(base.size() + text.size()));
    ZSTD_CCtx_setParameter(context.get(), ZSTD_c_enableLongDistanceMatching, 1);
    ZSTD_CCtx_refPrefix(context.get(), base.data(), base.size());
    std::string patch(ZSTD_compressBound(text.size()), '\0');
    std::size_t const written =
        ZSTD_compress2(context.get(), patch.data(), patch.size(), text.data(), text.size());
    patch.resize(ZSTD_isError(written) != 0U ? 0 : written);
    return patch;
}

state::result<std::string> apply_patch(std::string_view base, std::string_view patch,
                                       std::size_t max_bytes)
{
    unsigned long long const size = ZSTD_getFrameContentSize(patch.data(), patch.size());
    bool const is_known = size != ZSTD_CONTENTSIZE_ERROR && size != ZSTD_CONTENTSIZE_UNKNOWN;
    if (!is_known || size > max_bytes)
    {
        return malformed("a patch of no size, or of too great a text");
    }
    std::unique_ptr<ZSTD_DCtx, decompressor_deleter> const context{ZSTD_createDCtx()};
    ZSTD_DCtx_setParameter(context.get(), ZSTD_d_windowLogMax, max_window_log);
    ZSTD_DCtx_refPrefix(context.get(), base.data(), base.size());
    std::string text(static_cast<std::size_t>(size), '\0');
    std::size_t const read =
        ZSTD_decompressDCtx(context.get(), text.data(), text.size(), patch.data(), patch.size());
    if (ZSTD_isError(read) != 0U || read != text.size())
    {
        return malformed("a patch that doesn't fit its base");
    }
    return text;
}

std::uint64_t text_digest(std::string_view text)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<unsigned char const*>(text.data()), text.size(), digest.data());
    std::uint64_t value = 0;
    std::memcpy(&value, digest.data(), sizeof value);
    return value;
}

} // namespace plumdale::protocol
