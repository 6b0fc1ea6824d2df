#include "CborMessage.h"

#include "BoundedJson.h"

namespace fescue {

using nlohmann::json;

namespace {

    // Stops parsing at the first array or object that is nested too deep.
    class DepthCheck final : public nlohmann::json_sax<json> {
    public:
        bool start_array(std::size_t) override { return enter(); }
        bool start_object(std::size_t) override { return enter(); }
        bool end_array() override { return leave(); }
        bool end_object() override { return leave(); }
        bool null() override { return true; }
        bool boolean(bool) override { return true; }
        bool number_integer(number_integer_t) override { return true; }
        bool number_unsigned(number_unsigned_t) override { return true; }
        bool number_float(number_float_t, const string_t&) override { return true; }
        bool string(string_t&) override { return true; }
        bool binary(binary_t&) override { return true; }
        bool key(string_t&) override { return true; }
        bool parse_error(std::size_t, const std::string&, const json::exception&) override { return false; }

    private:
        bool enter() { return ++depth_ <= maxJsonDepth; }
        bool leave()
        {
            --depth_;
            return true;
        }

        int depth_ = 0;
    };

    // The library's decoder calls itself for each level.
    bool isTooDeep(const std::string& bytes)
    {
        DepthCheck check;
        return bytes.size() >= uncheckedJsonBytes
            && !json::sax_parse(bytes, &check, json::input_format_t::cbor);
    }

} // namespace

std::string toCborMessage(const json& document)
{
    std::string bytes;
    json::to_cbor(document, bytes);
    return bytes;
}

std::optional<json> parseCborMessage(const std::string& bytes)
{
    if (isTooDeep(bytes))
        return std::nullopt;
    // Even without exceptions, the library throws if an array or object claims to exceed the address space.
    try {
        json document = json::from_cbor(bytes, true, false);
        if (!document.is_discarded())
            return document;
    } catch (const json::out_of_range&) {
    }
    return std::nullopt;
}

} // namespace fescue
