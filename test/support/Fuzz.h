#pragma once

/** \file
 * Fuzz: runs a RapidCheck property with a fixed seed and reports a counterexample as a CppUnit failure.
 */

#include <cppunit/TestAssert.h>
#include <rapidcheck.h>
#include <sstream>

namespace fescue::test {

/** Number of test cases per property. */
constexpr int fuzzCases = 1000;

/** Checks a property, a function whose arguments are generated. */
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
