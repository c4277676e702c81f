// Package platform is a stand-in for the platform: its log service and its list of VMs.
package platform
