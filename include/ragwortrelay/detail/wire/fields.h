#pragma once

#include <ragwortrelay/core/identifier.h>
#include <ragwortrelay/core/time.h>

#include <msgpack.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <tuple>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

namespace RagwortRelay::Wire::detail {

/// Exception thrown inside the codec for bytes that don't have the expected form.
class MalformedMessage : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/// Requires a type that lists its members on the wire with fields().
template<typename Type>
concept HasFields = requires(Type &value)
{
    Type::fields(value);
};

/// Writer of MessagePack values into a buffer.
using Packer = msgpack::packer<msgpack::sbuffer>;

inline void pack(Packer &packer, bool value)
{
    packer.pack(value);
}

inline void pack(Packer &packer, double value)
{
    packer.pack(value);
}

inline void pack(Packer &packer, const std::string &value)
{
    packer.pack(value);
}

inline void pack(Packer &packer, Duration value)
{
    packer.pack(value.count());
}

template<typename Tag> void pack(Packer &packer, const Identifier<Tag> &value)
{
    packer.pack(value.text());
}

template<typename Integer>
requires(std::is_integral_v<Integer> && !std::is_same_v<Integer, bool>) void pack(Packer &packer, Integer value)
{
    packer.pack(value);
}

template<typename Enum>
requires std::is_enum_v<Enum>
void pack(Packer &packer, Enum value)
{
    packer.pack(static_cast<std::underlying_type_t<Enum>>(value));
}

template<HasFields Message> void pack(Packer &packer, const Message &message);
template<typename Element> void pack(Packer &packer, const std::vector<Element> &values);
template<typename Element> void pack(Packer &packer, const std::optional<Element> &value);
template<typename Key, typename Value> void pack(Packer &packer, const std::map<Key, Value> &values);
template<typename Element> void pack(Packer &packer, const std::set<Element> &values);

template<typename Element> void pack(Packer &packer, const std::vector<Element> &values)
{
    packer.pack_array(static_cast<std::uint32_t>(values.size()));
    for (const Element &value : values) {
        pack(packer, value);
    }
}

template<typename Element> void pack(Packer &packer, const std::optional<Element> &value)
{
    packer.pack_array(value ? 1 : 0);
    if (value) {
        pack(packer, *value);
    }
}

template<typename Key, typename Value> void pack(Packer &packer, const std::map<Key, Value> &values)
{
    packer.pack_array(static_cast<std::uint32_t>(values.size() * 2));
    for (const auto &[key, value] : values) {
        pack(packer, key);
        pack(packer, value);
    }
}

template<typename Element> void pack(Packer &packer, const std::set<Element> &values)
{
    packer.pack_array(static_cast<std::uint32_t>(values.size()));
    for (const Element &value : values) {
        pack(packer, value);
    }
}

template<HasFields Message> void pack(Packer &packer, const Message &message)
{
    const auto fields = Message::fields(message);
    packer.pack_array(std::tuple_size_v<std::decay_t<decltype(fields)>>);
    std::apply([&packer](const auto &...field) { (pack(packer, field), ...); }, fields);
}

/// Returns the elements of an array.
/// @throw MalformedMessage if the object isn't an array
inline std::pair<const msgpack::object *, std::size_t> elementsOf(const msgpack::object &object)
{
    if (object.type != msgpack::type::ARRAY) {
        throw MalformedMessage("an array was expected");
    }
    return {object.via.array.ptr, object.via.array.size};
}

template<typename Scalar>
requires(std::is_arithmetic_v<Scalar>) void unpack(const msgpack::object &object, Scalar &value)
{
    value = object.as<Scalar>();
}

inline void unpack(const msgpack::object &object, std::string &value)
{
    value = object.as<std::string>();
}

inline void unpack(const msgpack::object &object, Duration &value)
{
    value = Duration(object.as<std::int64_t>());
}

template<typename Tag> void unpack(const msgpack::object &object, Identifier<Tag> &value)
{
    value = Identifier<Tag>(object.as<std::string>());
}

/// Unpacks an enumerator. An enumeration on the wire ends with an enumerator `Last`, which equals the last one.
template<typename Enum>
requires std::is_enum_v<Enum>
void unpack(const msgpack::object &object, Enum &value)
{
    const auto number = object.as<std::underlying_type_t<Enum>>();
    if (number > static_cast<std::underlying_type_t<Enum>>(Enum::Last)) {
        throw MalformedMessage("unknown enumerator");
    }
    value = static_cast<Enum>(number);
}

template<HasFields Message> void unpack(const msgpack::object &object, Message &message);
template<typename Element> void unpack(const msgpack::object &object, std::vector<Element> &values);
template<typename Element> void unpack(const msgpack::object &object, std::optional<Element> &value);
template<typename Key, typename Value> void unpack(const msgpack::object &object, std::map<Key, Value> &values);
template<typename Element> void unpack(const msgpack::object &object, std::set<Element> &values);

template<typename Element> void unpack(const msgpack::object &object, std::vector<Element> &values)
{
    const auto [elements, size] = elementsOf(object);
    values.resize(size);
    for (std::size_t i = 0; i < size; ++i) {
        unpack(elements[i], values[i]);
    }
}

template<typename Element> void unpack(const msgpack::object &object, std::optional<Element> &value)
{
    const auto [elements, size] = elementsOf(object);
    if (size > 1) {
        throw MalformedMessage("an optional value has more than one element");
    }
    value.reset();
    if (size == 1) {
        unpack(elements[0], value.emplace());
    }
}

template<typename Key, typename Value> void unpack(const msgpack::object &object, std::map<Key, Value> &values)
{
    const auto [elements, size] = elementsOf(object);
    if (size % 2 != 0) {
        throw MalformedMessage("a map key has no value");
    }
    values.clear();
    for (std::size_t i = 0; i < size; i += 2) {
        Key key{};
        unpack(elements[i], key);
        unpack(elements[i + 1], values[key]);
    }
}

template<typename Element> void unpack(const msgpack::object &object, std::set<Element> &values)
{
    const auto [elements, size] = elementsOf(object);
    values.clear();
    for (std::size_t i = 0; i < size; ++i) {
        Element element{};
        unpack(elements[i], element);
        values.insert(std::move(element));
    }
}

template<HasFields Message> void unpack(const msgpack::object &object, Message &message)
{
    const auto [elements, size] = elementsOf(object);
    auto fields = Message::fields(message);
    if (size != std::tuple_size_v<decltype(fields)>) {
        throw MalformedMessage("wrong number of fields");
    }
    const msgpack::object *next = elements;
    std::apply([&next](auto &...field) { (unpack(*next++, field), ...); }, fields);
}

/// Packs a variant as a pair of the alternative's position and its value.
template<typename... Types> void packVariant(Packer &packer, const std::variant<Types...> &value)
{
    packer.pack_array(2);
    packer.pack(static_cast<std::uint32_t>(value.index()));
    std::visit([&packer](const auto &alternative) { pack(packer, alternative); }, value);
}

template<typename Variant, std::size_t... Positions>
void unpackAlternative(const msgpack::object &object, std::size_t position, Variant &value, std::index_sequence<Positions...> /*positions*/)
{
    const bool isKnown = ((position == Positions && (unpack(object, value.template emplace<Positions>()), true)) || ...);
    if (!isKnown) {
        throw MalformedMessage("unknown message type");
    }
}

/// Unpacks a variant that packVariant() wrote.
template<typename... Types> void unpackVariant(const msgpack::object &object, std::variant<Types...> &value)
{
    const auto [elements, size] = elementsOf(object);
    if (size != 2) {
        throw MalformedMessage("a message is not a pair");
    }
    unpackAlternative(elements[1], elements[0].as<std::size_t>(), value, std::index_sequence_for<Types...>{});
}

}
