#pragma once

/** \file
 * Suite: shorthand macros for CppUnit.
 */

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

/** Registers a fixture under the name of its file. */
#define REGISTER_SUITE(Fixture) CPPUNIT_TEST_SUITE_NAMED_REGISTRATION(Fixture, #Fixture)

#define CHECK(condition) CPPUNIT_ASSERT(condition)
#define CHECK_EQUAL(expected, actual) CPPUNIT_ASSERT_EQUAL(expected, actual)
