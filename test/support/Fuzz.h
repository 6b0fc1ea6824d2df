#pragma once

/** \file
 * Fuzz: runs a RapidCheck property from a fixed seed, and fails the CppUnit test with what was found.
 */

#include <cppunit/TestAssert.h>
#include <rapidcheck.h>
#include <sstream>

namespace fescue::test {

/** Cases that a property is tried with. */
constexpr int fuzzCases = 1000;

/** Checks a property, a function that takes what it needs from generators. */
template <typename Property> void fuzz(const std::string& name, const Property& property)
{
    rc::detail::TestParams params;
    params.seed = 20261;
    params.maxSuccess = fuzzCases;
    auto result = rc::detail::checkTestable(property, rc::detail::TestMetadata { name, name }, params);
    std::ostringstream text;
    rc::detail::printResultMessage(result, text);
    CPPUNIT_ASSERT_MESSAGE(name + ": " + text.str(), result.template is<rc::detail::SuccessResult>());
}

} // namespace fescue::test
